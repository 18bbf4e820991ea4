package org.chivevale.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates one account's requests over many proxies that request tokens from one owner.
 *
 * <p>Time advances in steps of a millisecond. Not thread safe.
 */
final class RateSimulation {
    private static final long MILLI = 1_000_000;
    private static final long COVER_NANOS = 800 * MILLI;
    private static final long GRANT_NANOS = 3_000 * MILLI;
    private static final long MARGIN_NANOS = 100 * MILLI;
    private static final int OUTAGE_MILLIS = 150;
    private static final int RESPONSE_TIMEOUT_MILLIS = 600;
    private static final long FIRST_GRANT_OF_NEXT_OWNER = 1_000_000;
    private static final int CLOSED_REPORT_INTERVAL_MILLIS = 100;
    private static final int WARM_UP_MILLIS = 3_000;

    private final Random random;
    private final double ratePerSecond;
    private final double burst;
    private RateOwner owner;
    private final List<Proxy> proxies = new ArrayList<>();
    private final Map<Integer, List<Runnable>> dueActions = new HashMap<>();
    private final int roundTripMillis;
    private final double requestsPerSecond;
    private final List<Integer> servedAtMillis = new ArrayList<>();
    private int nowMillis;
    private int rejected;
    private int maxWaitMillis = 100;
    private int silentSinceMillis;
    private int silentUntilMillis;
    private int messages;
    private int servedImmediately;

    RateSimulation(
            long seed,
            int proxyCount,
            double ratePerSecond,
            double burst,
            double requestsPerSecond,
            int roundTripMillis) {
        this.random = new Random(seed);
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.owner = new RateOwner(ratePerSecond, burst, MARGIN_NANOS, 1, 0);
        this.requestsPerSecond = requestsPerSecond;
        this.roundTripMillis = roundTripMillis;
        for (int i = 0; i < proxyCount; i++) {
            Proxy proxy = new Proxy("p" + i);
            proxies.add(proxy);
        }
    }

    private final class Proxy {
        final String name;
        final RateFallback fallback = new RateFallback();
        final RateShare share = new RateShare(COVER_NANOS, 0);
        final Deque<Integer> waitingSinceMillis = new ArrayDeque<>();
        boolean requestInFlight;
        boolean exhausted;
        long retryAtNanos;

        Proxy(String name) {
            this.name = name;
        }

        void request(long now) {
            if (waitingSinceMillis.isEmpty() && share.tryTake(now)) {
                servedImmediately++;
                recordServed();
            } else {
                waitingSinceMillis.addLast(nowMillis);
            }
        }

        void step(long now) {
            boolean mayReject = exhausted || nowMillis < silentUntilMillis;
            boolean isWaiting = !waitingSinceMillis.isEmpty();
            if (mayReject
                    && isWaiting
                    && nowMillis - waitingSinceMillis.peekFirst() >= maxWaitMillis) {
                waitingSinceMillis.removeFirst();
                rejected += nowMillis >= WARM_UP_MILLIS ? 1 : 0;
            }
            if (silentUntilMillis - nowMillis > 0
                    && nowMillis >= silentSinceMillis + OUTAGE_MILLIS) {
                takeFromFallback(now);
            }
            boolean wantsTokens =
                    now >= retryAtNanos && (!waitingSinceMillis.isEmpty() || share.isLow(now));
            boolean reportsClosed =
                    nowMillis % CLOSED_REPORT_INTERVAL_MILLIS == 0 && share.hasClosedGrants(now);
            if (!requestInFlight && (wantsTokens || reportsClosed)) {
                sendRequest(now, wantsTokens);
            }
        }

        /** Admits what waits for longer than an outage lasts unnoticed. */
        private void takeFromFallback(long now) {
            while (!waitingSinceMillis.isEmpty()
                    && fallback.tryTake(
                            ratePerSecond,
                            proxies.size(),
                            share.meanPerSecond(now),
                            silentSinceMillis * MILLI,
                            now)) {
                share.recordSpent(now);
                waitingSinceMillis.removeFirst();
                recordServed();
            }
        }

        private void sendRequest(long now, boolean wantsTokens) {
            requestInFlight = true;
            messages++;
            int waiting = wantsTokens ? waitingSinceMillis.size() : 0;
            int ahead = wantsTokens ? share.tokensAhead(now) : 0;
            List<RateShare.Closed> closed = share.drainClosedGrants(now);
            if (nowMillis < silentUntilMillis) {
                after(RESPONSE_TIMEOUT_MILLIS, () -> requestInFlight = false);
                return;
            }
            after(roundTripMillis / 2, () -> handleRequest(now, waiting, ahead, closed));
        }

        private void handleRequest(
                long sentAtNanos, int waiting, int ahead, List<RateShare.Closed> closed) {
            long now = nowMillis * MILLI;
            closed.forEach(one -> owner.close(name, one.grantId(), one.unused(), now));
            RateOwner.Granted granted =
                    waiting + ahead == 0
                            ? null
                            : owner.grant(name, waiting, ahead, GRANT_NANOS, now);
            after(
                    roundTripMillis - roundTripMillis / 2,
                    () -> handleResponse(sentAtNanos, granted));
        }

        private void handleResponse(long sentAtNanos, RateOwner.Granted granted) {
            long now = nowMillis * MILLI;
            requestInFlight = false;
            fallback.end();
            if (granted == null) {
                return;
            }
            if (granted.tokens() == 0) {
                share.pauseAhead(now);
            }
            exhausted = granted.tokens() == 0 && granted.retryAfterNanos() > 0;
            if (granted.tokens() == 0) {
                retryAtNanos = now + granted.retryAfterNanos();
                return;
            }
            share.addGrant(granted.id(), granted.tokens(), sentAtNanos + granted.validNanos());
            while (!waitingSinceMillis.isEmpty() && share.tryTake(now)) {
                waitingSinceMillis.removeFirst();
                recordServed();
            }
        }
    }

    private void recordServed() {
        servedAtMillis.add(nowMillis);
    }

    private void after(int millis, Runnable action) {
        dueActions.computeIfAbsent(nowMillis + millis, key -> new ArrayList<>()).add(action);
    }

    /** Lets requests wait for longer, as sessions with a latency objective do. */
    RateSimulation waitUpTo(int millis) {
        maxWaitMillis = millis;
        return this;
    }

    /** Replaces the owner, whose state is lost, by an empty one after some time without answers. */
    RateSimulation replaceOwner(int atMillis, int silentMillis) {
        after(
                atMillis,
                () -> {
                    silentSinceMillis = nowMillis;
                    silentUntilMillis = nowMillis + silentMillis;
                    owner =
                            new RateOwner(
                                    ratePerSecond,
                                    burst,
                                    MARGIN_NANOS,
                                    FIRST_GRANT_OF_NEXT_OWNER,
                                    silentUntilMillis * MILLI);
                });
        return this;
    }

    /** Runs the simulation; requests arrive at random times at proxies drawn at random. */
    RateSimulation run(int millis) {
        for (nowMillis = 0; nowMillis < millis; nowMillis++) {
            List<Runnable> actions = dueActions.remove(nowMillis);
            if (actions != null) {
                actions.forEach(Runnable::run);
            }
            long now = nowMillis * MILLI;
            double remaining = requestsPerSecond / 1000;
            while (random.nextDouble() < remaining) {
                proxies.get(random.nextInt(proxies.size())).request(now);
                remaining -= 1;
            }
            proxies.forEach(proxy -> proxy.step(now));
        }
        return this;
    }

    int rejected() {
        return rejected;
    }

    int messages() {
        return messages;
    }

    int served() {
        return servedAtMillis.size();
    }

    int servedImmediately() {
        return servedImmediately;
    }

    int mostServedWithin(int windowMillis) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < servedAtMillis.size(); last++) {
            while (servedAtMillis.get(last) - servedAtMillis.get(first) > windowMillis) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
