package org.chivevale.core.admission;

/**
 * A place in an {@link AdmissionQueue}.
 *
 * <p>Immutable; compared by identity.
 *
 * @param <T> type of the queued item
 */
public final class Ticket<T> {
    private final T item;
    private final AdmissionRequest request;
    private final long arrivedNanos;
    private final long sequence;
    private final long expectedWaitNanos;

    Ticket(
            T item,
            AdmissionRequest request,
            long arrivedNanos,
            long sequence,
            long expectedWaitNanos) {
        this.item = item;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.sequence = sequence;
        this.expectedWaitNanos = expectedWaitNanos;
    }

    /**
     * Returns the queued item.
     *
     * @return the item
     */
    public T item() {
        return item;
    }

    /**
     * Returns what its place in the order depends on.
     *
     * @return the request
     */
    public AdmissionRequest request() {
        return request;
    }

    long deadlineNanos() {
        return request.deadlineNanos();
    }

    long sequence() {
        return sequence;
    }

    /** Returns the wait that was expected on arrival, without a correction by earlier waits. */
    long expectedWaitNanos() {
        return expectedWaitNanos;
    }

    long waitedNanos(long nowNanos) {
        return nowNanos - arrivedNanos;
    }

    /** Returns the remaining time that the request had on arrival. */
    long allowedNanos() {
        return request.remainingNanos(arrivedNanos);
    }
}
