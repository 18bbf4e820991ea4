package org.chivevale.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.chivevale.core.account.ClientAccountId;

/**
 * The waiting requests of one urgency class, by client account and deadline.
 *
 * <p>Invariant: an account is listed only while it has a waiting request. Not thread safe.
 *
 * @param <T> type of the queued items
 */
final class UrgencyClass<T> {
    private final Map<ClientAccountId, TreeSet<Ticket<T>>> accounts = new LinkedHashMap<>();
    private int size;

    void add(Ticket<T> ticket) {
        accounts.computeIfAbsent(
                        ticket.request().account(),
                        key ->
                                new TreeSet<>(
                                        Comparator.comparingLong(Ticket<T>::deadlineNanos)
                                                .thenComparingLong(Ticket::sequence)))
                .add(ticket);
        size++;
    }

    boolean remove(Ticket<T> ticket) {
        ClientAccountId account = ticket.request().account();
        TreeSet<Ticket<T>> tickets = accounts.get(account);
        if (tickets == null || !tickets.remove(ticket)) {
            return false;
        }
        size--;
        if (tickets.isEmpty()) {
            accounts.remove(account);
        }
        return true;
    }

    int size() {
        return size;
    }

    /** Returns the request with the earliest deadline of each account. */
    List<Ticket<T>> heads() {
        List<Ticket<T>> heads = new ArrayList<>(accounts.size());
        accounts.values().forEach(tickets -> heads.add(tickets.first()));
        return heads;
    }

    /** Returns how many requests wait, of each account as many as it may have served. */
    double count(ToDoubleFunction<AdmissionRequest> allowance) {
        double count = 0;
        for (TreeSet<Ticket<T>> tickets : accounts.values()) {
            count += Math.min(tickets.size(), allowance.applyAsDouble(tickets.first().request()));
        }
        return count;
    }

    /** Returns how many requests are served before a new one, with equal turns for accounts. */
    double countAhead(AdmissionRequest request, ToDoubleFunction<AdmissionRequest> allowance) {
        int own = 0;
        for (Ticket<T> ticket : ticketsOf(request.account())) {
            if (ticket.deadlineNanos() - request.deadlineNanos() > 0) {
                break;
            }
            own++;
        }
        double ahead = own;
        for (Map.Entry<ClientAccountId, TreeSet<Ticket<T>>> entry : accounts.entrySet()) {
            if (!entry.getKey().equals(request.account())) {
                TreeSet<Ticket<T>> tickets = entry.getValue();
                double most = allowance.applyAsDouble(tickets.first().request());
                ahead += Math.min(most, Math.min(tickets.size(), own + 1));
            }
        }
        return ahead;
    }

    int waiting(ClientAccountId account) {
        return ticketsOf(account).size();
    }

    private Collection<Ticket<T>> ticketsOf(ClientAccountId account) {
        TreeSet<Ticket<T>> tickets = accounts.get(account);
        return tickets == null ? List.of() : tickets;
    }

    /** Returns the last request of the account with the most requests; null without one. */
    Ticket<T> lastOfLargestAccount(Predicate<AdmissionRequest> filter) {
        TreeSet<Ticket<T>> largest = null;
        for (TreeSet<Ticket<T>> tickets : accounts.values()) {
            boolean isLarger = largest == null || tickets.size() > largest.size();
            if (isLarger && filter.test(tickets.first().request())) {
                largest = tickets;
            }
        }
        return largest == null ? null : largest.last();
    }

    List<Ticket<T>> expired(long nowNanos) {
        List<Ticket<T>> expired = new ArrayList<>();
        for (TreeSet<Ticket<T>> tickets : accounts.values()) {
            for (Ticket<T> ticket : tickets) {
                if (ticket.request().remainingNanos(nowNanos) > 0) {
                    break;
                }
                expired.add(ticket);
            }
        }
        return expired;
    }

    List<Ticket<T>> all() {
        List<Ticket<T>> all = new ArrayList<>(size);
        accounts.values().forEach(all::addAll);
        return all;
    }
}
