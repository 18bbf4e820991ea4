package org.chivevale.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Plays one account's requests over many proxies that ask one owner for tokens.
 *
 * <p>Time goes on in milliseconds. Not thread safe.
 */
final class RatePlay {
    private static final long MILLI = 1_000_000;
    private static final long LOOKAHEAD_NANOS = 100 * MILLI;
    private static final long GRANT_NANOS = 500 * MILLI;
    private static final long MARGIN_NANOS = 100 * MILLI;
    private static final int PATIENCE_MILLIS = 100;
    private static final int RETURN_MILLIS = 100;
    private static final int WARM_UP_MILLIS = 3_000;

    private final Random random;
    private final RateOwner owner;
    private final List<Proxy> proxies = new ArrayList<>();
    private final Map<Integer, List<Runnable>> due = new HashMap<>();
    private final int roundTripMillis;
    private final double requestsPerSecond;
    private final List<Integer> servedAtMillis = new ArrayList<>();
    private int nowMillis;
    private int refused;
    private int messages;
    private int servedAtOnce;

    RatePlay(
            long seed,
            int proxyCount,
            double ratePerSecond,
            double burst,
            double requestsPerSecond,
            int roundTripMillis) {
        this.random = new Random(seed);
        this.owner = new RateOwner(ratePerSecond, burst, MARGIN_NANOS, 1, 0);
        this.requestsPerSecond = requestsPerSecond;
        this.roundTripMillis = roundTripMillis;
        for (int i = 0; i < proxyCount; i++) {
            Proxy proxy = new Proxy("p" + i);
            proxy.share.sharedBy(burst, proxyCount);
            proxies.add(proxy);
        }
    }

    private final class Proxy {
        final String name;
        final RateShare share = new RateShare(LOOKAHEAD_NANOS, 0);
        final Deque<Integer> waitingSinceMillis = new ArrayDeque<>();
        boolean asking;
        boolean exhausted;
        long retryAtNanos;

        Proxy(String name) {
            this.name = name;
        }

        void request(long now) {
            if (waitingSinceMillis.isEmpty() && share.tryTake(now)) {
                servedAtOnce++;
                noteServed();
            } else {
                waitingSinceMillis.addLast(nowMillis);
            }
        }

        void step(long now) {
            boolean impatient = exhausted && !waitingSinceMillis.isEmpty();
            if (impatient && nowMillis - waitingSinceMillis.peekFirst() >= PATIENCE_MILLIS) {
                waitingSinceMillis.removeFirst();
                refused += nowMillis >= WARM_UP_MILLIS ? 1 : 0;
            }
            boolean wants =
                    now >= retryAtNanos && (!waitingSinceMillis.isEmpty() || share.low(now));
            boolean returns = nowMillis % RETURN_MILLIS == 0 && share.hasClosed(now);
            if (!asking && (wants || returns)) {
                ask(now, wants);
            }
        }

        private void ask(long now, boolean wants) {
            asking = true;
            messages++;
            int wanted = wants ? share.wanted(waitingSinceMillis.size(), now) : 0;
            List<RateShare.Closed> closed = share.drainClosed(now);
            after(roundTripMillis / 2, () -> decide(now, wanted, closed));
        }

        private void decide(long askedNanos, int wanted, List<RateShare.Closed> closed) {
            long now = nowMillis * MILLI;
            closed.forEach(one -> owner.close(name, one.grantId(), one.unused(), now));
            RateOwner.Granted granted =
                    wanted == 0 ? null : owner.grant(name, wanted, GRANT_NANOS, now);
            after(roundTripMillis - roundTripMillis / 2, () -> take(askedNanos, granted));
        }

        private void take(long askedNanos, RateOwner.Granted granted) {
            long now = nowMillis * MILLI;
            asking = false;
            if (granted == null) {
                return;
            }
            exhausted = granted.tokens() == 0;
            if (exhausted) {
                retryAtNanos = now + granted.retryAfterNanos();
                return;
            }
            share.granted(granted.id(), granted.tokens(), askedNanos + granted.validNanos());
            while (!waitingSinceMillis.isEmpty() && share.tryTake(now)) {
                waitingSinceMillis.removeFirst();
                noteServed();
            }
        }
    }

    private void noteServed() {
        servedAtMillis.add(nowMillis);
    }

    private void after(int millis, Runnable action) {
        due.computeIfAbsent(nowMillis + millis, key -> new ArrayList<>()).add(action);
    }

    /** Plays for so long; requests come at random times to proxies drawn at random. */
    RatePlay run(int millis) {
        for (nowMillis = 0; nowMillis < millis; nowMillis++) {
            List<Runnable> actions = due.remove(nowMillis);
            if (actions != null) {
                actions.forEach(Runnable::run);
            }
            long now = nowMillis * MILLI;
            double left = requestsPerSecond / 1000;
            while (random.nextDouble() < left) {
                proxies.get(random.nextInt(proxies.size())).request(now);
                left -= 1;
            }
            proxies.forEach(proxy -> proxy.step(now));
        }
        return this;
    }

    int refused() {
        return refused;
    }

    int messages() {
        return messages;
    }

    int served() {
        return servedAtMillis.size();
    }

    int servedAtOnce() {
        return servedAtOnce;
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
