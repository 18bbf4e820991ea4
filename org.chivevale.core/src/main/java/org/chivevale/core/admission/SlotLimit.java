package org.chivevale.core.admission;

/**
 * Learns how many statements may be in flight at an endpoint from its replies that no slot is free.
 *
 * <p>A proxy can have many more connections than the endpoint has slots. Statements above the slots
 * would be refused and retried in an order of chance, so they wait in the queue instead. Without
 * such a reply there is no limit. The limit grows again while it is reached, since slots are shared
 * with other proxies. Not thread safe.
 */
public final class SlotLimit {
    /** Each growth risks a refused statement, so this bounds them to ten per second. */
    private static final long GROWTH_INTERVAL_NANOS = 100_000_000;

    private int limit = Integer.MAX_VALUE;
    private long changedNanos;

    /**
     * Returns the limit.
     *
     * @return how many statements may be in flight
     */
    public int limit() {
        return limit;
    }

    /**
     * Records that a statement was refused since no slot was free.
     *
     * @param othersInFlight how many other statements are in flight
     * @param nowNanos the monotonic time
     */
    public void onBusy(int othersInFlight, long nowNanos) {
        limit = Math.max(1, Math.min(limit, othersInFlight));
        changedNanos = nowNanos;
    }

    /**
     * Records that a statement has run.
     *
     * @param othersInFlight how many other statements are in flight
     * @param nowNanos the monotonic time
     */
    public void onRun(int othersInFlight, long nowNanos) {
        boolean isReached = limit < Integer.MAX_VALUE && othersInFlight + 1 >= limit;
        if (isReached && nowNanos - changedNanos >= GROWTH_INTERVAL_NANOS) {
            limit++;
            changedNanos = nowNanos;
        }
    }
}
