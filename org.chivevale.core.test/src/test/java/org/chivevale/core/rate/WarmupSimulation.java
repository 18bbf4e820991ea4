package org.chivevale.core.rate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;

/**
 * Simulates proxies that send requests to one cold endpoint with tokens of a leader.
 *
 * <p>Messages take random times. Faults: proxies freeze, one or all at once, so that what arrives
 * meanwhile waits; all get a burst of requests; answers are lost or come late; proxies restart; the
 * leader is replaced by one that knows nothing of its grants. Clocks of proxies drift. Time
 * advances in steps of a millisecond. Not thread safe.
 */
final class WarmupSimulation {
    static final long MILLI = 1_000_000;
    private static final long VALID_NANOS = 300 * MILLI;
    private static final long MARGIN_NANOS = 10 * MILLI;
    private static final int WINDOW_MILLIS = 1000;
    private static final int LONGEST_LATE_MILLIS = 800;
    private static final int LONGEST_WAIT_MILLIS = 500;
    private static final int BURST = 6;
    private static final int LONGEST_FREEZE_MILLIS = 1500;
    private static final int CLOCK_DRIFT_PPM = 1000;
    private static final WarmupTarget TARGET =
            new WarmupTarget(new GroupId("orders", 0), new EndpointId("e-1"));

    private final Random random;
    private final WarmupLimit limit;
    private final boolean withFaults;
    private final List<Proxy> proxies = new ArrayList<>();
    private final Map<Integer, List<Runnable>> events = new HashMap<>();
    private final List<Integer> sentAtMillis = new ArrayList<>();
    private WarmupOwner owner;
    private int nowMillis;

    WarmupSimulation(long seed, int proxyCount, WarmupLimit limit, boolean withFaults) {
        this.random = new Random(seed);
        this.limit = limit;
        this.withFaults = withFaults;
        startLeader();
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(new Proxy());
        }
    }

    private void startLeader() {
        long now = nowMillis * MILLI;
        owner = new WarmupOwner(limit, VALID_NANOS, MARGIN_NANOS, now + VALID_NANOS + MARGIN_NANOS);
    }

    private void schedule(int delayMillis, Runnable action) {
        events.computeIfAbsent(nowMillis + 1 + delayMillis, key -> new ArrayList<>()).add(action);
    }

    private final class Proxy {
        final double clockRate =
                1 + (random.nextInt(2 * CLOCK_DRIFT_PPM) - CLOCK_DRIFT_PPM) / 1_000_000.0;
        WarmupTokens tokens = new WarmupTokens();
        final List<Runnable> inbox = new ArrayList<>();
        final Map<Object, Integer> waitingSinceMillis = new LinkedHashMap<>();
        int frozenUntilMillis;

        long clockNanos() {
            return (long) (nowMillis * MILLI * clockRate);
        }

        boolean isFrozen() {
            return nowMillis < frozenUntilMillis;
        }

        /** Handles a message or timer now, or after the freeze. */
        void deliver(Runnable action) {
            if (isFrozen()) {
                inbox.add(action);
            } else {
                action.run();
            }
        }

        void step(double requestProbability) {
            if (isFrozen()) {
                return;
            }
            List<Runnable> waiting = new ArrayList<>(inbox);
            inbox.clear();
            waiting.forEach(Runnable::run);
            if (random.nextDouble() < requestProbability) {
                request(new Object());
            }
            waitingSinceMillis.values().removeIf(since -> nowMillis - since > LONGEST_WAIT_MILLIS);
            for (WarmupTokens.Want want : tokens.takeWants(clockNanos())) {
                requestTokens(tokens, want.tokens());
            }
        }

        /** Chooses the endpoint and sends once a connection is free, as the session path does. */
        void request(Object statement) {
            if (tokens.isAvailable(TARGET, clockNanos())) {
                int connectionWaitMillis = random.nextInt(4) == 0 ? random.nextInt(400) : 0;
                schedule(connectionWaitMillis, () -> deliver(() -> send(statement)));
            } else {
                await(statement);
            }
        }

        void await(Object statement) {
            waitingSinceMillis.putIfAbsent(statement, nowMillis);
            tokens.want(TARGET, statement, clockNanos());
        }

        void send(Object statement) {
            if (tokens.trySpend(TARGET, clockNanos())) {
                sentAtMillis.add(nowMillis);
                waitingSinceMillis.remove(statement);
            } else {
                await(statement);
            }
        }

        void requestTokens(WarmupTokens requester, int wanted) {
            long sentNanos = clockNanos();
            schedule(
                    random.nextInt(30),
                    () -> {
                        int granted = owner.grant(wanted, nowMillis * MILLI);
                        boolean lost = withFaults && random.nextInt(20) == 0;
                        int delayMillis =
                                withFaults && random.nextInt(10) == 0
                                        ? random.nextInt(LONGEST_LATE_MILLIS)
                                        : random.nextInt(30);
                        if (!lost) {
                            schedule(
                                    delayMillis,
                                    () -> deliver(() -> receive(requester, granted, sentNanos)));
                        }
                    });
        }

        void receive(WarmupTokens requester, int granted, long sentNanos) {
            if (requester == tokens) {
                tokens.addGrant(TARGET, granted, sentNanos + VALID_NANOS, clockNanos());
                List.copyOf(waitingSinceMillis.keySet()).forEach(this::request);
            }
        }
    }

    void run(int durationMillis, double requestsPerSecondAndProxy) {
        int endMillis = nowMillis + durationMillis;
        while (nowMillis < endMillis) {
            List<Runnable> due = events.remove(nowMillis);
            if (due != null) {
                due.forEach(Runnable::run);
            }
            if (withFaults) {
                injectFault();
            }
            proxies.forEach(proxy -> proxy.step(requestsPerSecondAndProxy / WINDOW_MILLIS));
            nowMillis++;
        }
    }

    private void injectFault() {
        Proxy proxy = proxies.get(random.nextInt(proxies.size()));
        if (random.nextInt(200) == 0) {
            proxy.frozenUntilMillis = nowMillis + random.nextInt(LONGEST_FREEZE_MILLIS);
        }
        if (random.nextInt(500) == 0) {
            proxy.tokens = new WarmupTokens();
        }
        if (random.nextInt(2500) == 0) {
            startLeader();
        }
        if (random.nextInt(1000) == 0) {
            int untilMillis = nowMillis + random.nextInt(LONGEST_FREEZE_MILLIS);
            proxies.forEach(each -> each.frozenUntilMillis = untilMillis);
        }
        if (random.nextInt(700) == 0) {
            proxies.forEach(this::requestBurst);
        }
    }

    private void requestBurst(Proxy proxy) {
        for (int i = 0; i < BURST; i++) {
            proxy.deliver(() -> proxy.request(new Object()));
        }
    }

    int sent() {
        return sentAtMillis.size();
    }

    /** Returns the most requests that were sent within one second. */
    int mostPerSecond() {
        int most = 0;
        int first = 0;
        for (int last = 0; last < sentAtMillis.size(); last++) {
            while (sentAtMillis.get(last) - sentAtMillis.get(first) >= WINDOW_MILLIS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
