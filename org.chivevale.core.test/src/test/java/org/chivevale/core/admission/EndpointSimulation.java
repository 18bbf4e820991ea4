package org.chivevale.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.chivevale.core.account.ClientAccountId;

/**
 * Simulates the slots and connections of one endpoint behind one queue.
 *
 * <p>Opening a connection takes 12 ms of a slot; a connection belongs to one account. Not thread
 * safe.
 */
final class EndpointSimulation implements PoolUse {
    static final long MILLI = 1_000_000;
    private static final long OPEN_NANOS = 12 * MILLI;

    /** The order under test. */
    interface Discipline {
        /** Queues a request that arrives, or returns false to reject it. */
        boolean arrive(Request request, long now, EndpointSimulation endpoint);

        /** Removes and returns the request to serve next; null without one. */
        Request next(long now, EndpointSimulation endpoint);
    }

    /** A request and what its caller got. */
    static final class Request {
        final ClientAccountId account;
        final int priority;
        final long arrivalNanos;
        final long workNanos;
        final long objectiveNanos;
        final long deadlineNanos;
        boolean rejected;
        long endNanos = -1;

        Request(ClientAccountId account, int priority, long arrivalNanos, long workNanos) {
            this.account = account;
            this.priority = priority;
            this.arrivalNanos = arrivalNanos;
            this.workNanos = workNanos;
            this.objectiveNanos = Load.OBJECTIVE_MILLIS[priority] * MILLI;
            this.deadlineNanos = arrivalNanos + Load.REMAINING_MILLIS[priority] * MILLI;
        }

        AdmissionRequest admission() {
            return new AdmissionRequest(priority, account, deadlineNanos);
        }

        boolean inTime() {
            return endNanos >= 0 && endNanos - arrivalNanos <= objectiveNanos;
        }
    }

    private record Completion(long atNanos, Request request) {}

    private final int slots;
    private final int connectionLimit;
    private final Map<ClientAccountId, Integer> idle = new HashMap<>();
    private final Map<ClientAccountId, Integer> running = new HashMap<>();
    private final PriorityQueue<Completion> completions =
            new PriorityQueue<>(Comparator.comparingLong(Completion::atNanos));
    private final Random random;
    private int idleCount;

    EndpointSimulation(long seed) {
        random = new Random(seed);
        slots = 2 + random.nextInt(5);
        connectionLimit = 34 + random.nextInt(87);
    }

    int slots() {
        return slots;
    }

    /** Runs all requests; a request that is never served has no end. */
    void run(List<Request> requests, Discipline discipline) {
        int arrived = 0;
        while (arrived < requests.size() || !completions.isEmpty()) {
            long now;
            boolean isArrival =
                    arrived < requests.size()
                            && (completions.isEmpty()
                                    || requests.get(arrived).arrivalNanos
                                            <= completions.peek().atNanos());
            if (isArrival) {
                Request request = requests.get(arrived++);
                now = request.arrivalNanos;
                boolean hadFreeSlot = hasFreeSlot();
                request.rejected = !discipline.arrive(request, now, this);
                if (request.rejected && hadFreeSlot) {
                    throw new AssertionError("rejected while a slot is free, at " + now);
                }
            } else {
                Completion completion = completions.remove();
                now = completion.atNanos();
                completion.request().endNanos = now;
                running.merge(completion.request().account, -1, Integer::sum);
                idle.merge(completion.request().account, 1, Integer::sum);
                idleCount++;
            }
            serve(now, discipline);
        }
    }

    private void serve(long now, Discipline discipline) {
        while (hasFreeSlot()) {
            Request request = discipline.next(now, this);
            if (request == null) {
                return;
            }
            long work = request.workNanos + (takeIdle(request.account) ? 0 : OPEN_NANOS);
            running.merge(request.account, 1, Integer::sum);
            completions.add(new Completion(now + work, request));
        }
    }

    /** Takes an idle connection; without one, closes another account's if the limit is reached. */
    private boolean takeIdle(ClientAccountId account) {
        boolean found = hasIdle(account);
        if (found || idleCount + completions.size() >= connectionLimit) {
            List<ClientAccountId> owners = new ArrayList<>(idle.keySet());
            owners.removeIf(owner -> idle.get(owner) == 0);
            owners.sort(Comparator.comparing(ClientAccountId::value));
            ClientAccountId owner = found ? account : owners.get(random.nextInt(owners.size()));
            idle.merge(owner, -1, Integer::sum);
            idleCount--;
        }
        return found;
    }

    @Override
    public int inUse(ClientAccountId account) {
        return running.getOrDefault(account, 0);
    }

    @Override
    public boolean hasIdle(ClientAccountId account) {
        return idle.getOrDefault(account, 0) > 0;
    }

    @Override
    public int capacity() {
        return slots;
    }

    @Override
    public boolean hasFreeSlot() {
        return completions.size() < slots;
    }
}
