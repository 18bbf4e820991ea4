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
 * Requests that wait for a connection, served in turn by client account.
 *
 * <p>Invariants: while several accounts wait, each gets every n-th turn; within an account the
 * order is kept; an entry past its deadline is never served. Not thread safe.
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {
    private final int accountLimit;
    private final Map<ClientAccountId, Deque<Entry<T>>> queues = new LinkedHashMap<>();
    private int size;

    /**
     * One waiting request.
     *
     * @param item what waits
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
     * @param item what waits
     * @param deadlineNanos the monotonic time after which it must not be served
     * @return false when the account has too many entries
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
     * Takes the next entry that is not past its deadline.
     *
     * @param nowNanos the monotonic time
     * @return the entry, or null when none is left
     */
    public T poll(long nowNanos) {
        int turns = queues.size();
        for (int turn = 0; turn < turns; turn++) {
            Iterator<Map.Entry<ClientAccountId, Deque<Entry<T>>>> first =
                    queues.entrySet().iterator();
            Map.Entry<ClientAccountId, Deque<Entry<T>>> next = first.next();
            first.remove();
            T item = takeLive(next.getValue(), nowNanos);
            if (!next.getValue().isEmpty()) {
                queues.put(next.getKey(), next.getValue());
            }
            if (item != null) {
                return item;
            }
        }
        return null;
    }

    /** Takes the oldest entry that is not past its deadline; late ones stay to be refused. */
    private T takeLive(Deque<Entry<T>> queue, long nowNanos) {
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
     * @return what was removed, to be refused
     */
    public List<T> expire(long nowNanos) {
        List<T> expired = new ArrayList<>();
        for (Deque<Entry<T>> queue : queues.values()) {
            queue.removeIf(
                    entry -> {
                        boolean late = nowNanos - entry.deadlineNanos() >= 0;
                        if (late) {
                            expired.add(entry.item());
                        }
                        return late;
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
