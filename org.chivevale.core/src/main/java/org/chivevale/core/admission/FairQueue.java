package org.chivevale.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;

/**
 * Queue of requests that wait for a connection, served round-robin by client account.
 *
 * <p>Invariants: while n accounts wait, each gets every n-th turn; the entries of an account are
 * served in order; an entry past its deadline is never served. Not thread safe.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {
    private final int accountLimit;
    private final Map<ClientAccountId, Deque<Entry<T>>> queues = new LinkedHashMap<>();
    private int size;

    /**
     * One queued request.
     *
     * @param item the queued item
     * @param deadlineNanos the monotonic time after which it must not be served
     * @param <T> its type
     */
    public record Entry<T>(T item, long deadlineNanos) {}

    /**
     * Creates an empty queue.
     *
     * @param accountLimit how many entries one client account may have
     */
    public FairQueue(int accountLimit) {
        this.accountLimit = accountLimit;
    }

    /**
     * Adds an entry at the end of its account's queue.
     *
     * @param account the client account
     * @param item the item to queue
     * @param deadlineNanos the monotonic time after which it must not be served
     * @return false when the account is at its limit; the item is not queued then
     */
    public boolean offer(ClientAccountId account, T item, long deadlineNanos) {
        Deque<Entry<T>> queue = queues.computeIfAbsent(account, key -> new ArrayDeque<>());
        if (queue.size() >= accountLimit) {
            return false;
        }
        queue.addLast(new Entry<>(item, deadlineNanos));
        size++;
        return true;
    }

    /**
     * Removes and returns the next entry that is not past its deadline.
     *
     * @param nowNanos the monotonic time
     * @return the entry's item, or null when there is none
     */
    public T poll(long nowNanos) {
        int turns = queues.size();
        for (int turn = 0; turn < turns; turn++) {
            Iterator<Map.Entry<ClientAccountId, Deque<Entry<T>>>> first =
                    queues.entrySet().iterator();
            Map.Entry<ClientAccountId, Deque<Entry<T>>> next = first.next();
            first.remove();
            T item = takeUnexpired(next.getValue(), nowNanos);
            if (!next.getValue().isEmpty()) {
                queues.put(next.getKey(), next.getValue());
            }
            if (item != null) {
                return item;
            }
        }
        return null;
    }

    /** Takes the oldest unexpired entry; expired ones stay until {@link #expire}. */
    private T takeUnexpired(Deque<Entry<T>> queue, long nowNanos) {
        Iterator<Entry<T>> entries = queue.iterator();
        while (entries.hasNext()) {
            Entry<T> entry = entries.next();
            if (nowNanos - entry.deadlineNanos() < 0) {
                entries.remove();
                size--;
                return entry.item();
            }
        }
        return null;
    }

    /**
     * Removes the entries that are past their deadline.
     *
     * @param nowNanos the monotonic time
     * @return the removed items, for the caller to reject
     */
    public List<T> expire(long nowNanos) {
        List<T> expired = new ArrayList<>();
        for (Deque<Entry<T>> queue : queues.values()) {
            queue.removeIf(
                    entry -> {
                        boolean isExpired = nowNanos - entry.deadlineNanos() >= 0;
                        if (isExpired) {
                            expired.add(entry.item());
                        }
                        return isExpired;
                    });
        }
        queues.values().removeIf(Deque::isEmpty);
        size -= expired.size();
        return expired;
    }

    /**
     * Returns the number of entries.
     *
     * @return entries of all accounts
     */
    public int size() {
        return size;
    }
}
