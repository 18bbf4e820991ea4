package org.chivevale.proxy.internal.rate;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.rate.RateFallback;
import org.chivevale.core.rate.RateShare;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateGrant;
import org.chivevale.wire.proto.RateRequest;
import org.chivevale.wire.proto.RateWant;

/**
 * Admits requests within the rate and burst of their client account.
 *
 * <p>Invariants: each admitted request has spent a token of the account's owner; a request is only
 * refused for its rate after the owner has said that there are no tokens. Used on the event loop.
 */
public final class RateGate implements Service {
    /** Name in the kernel. */
    public static final String NAME = "rate-gate";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WAITING_TICK_MILLIS = 5;
    private static final long RETURN_TICK_MILLIS = 100;
    private static final long LOOKAHEAD_NANOS = 100 * NANOS_PER_MILLI;
    private static final long RETURN_EVERY_NANOS = 100 * NANOS_PER_MILLI;
    private static final long OUTAGE_NANOS = 150 * NANOS_PER_MILLI;
    private static final int MAX_WAITING = 1000;

    private final ProxySettings settings;
    private final Directory directory;
    private final Map<ClientAccountId, Gate> gates = new HashMap<>();
    private EventLoop loop;
    private ControlLink link;
    private boolean ticking;
    private Counter asked;
    private Counter refused;
    private long returnedNanos;
    private long unansweredSinceNanos;
    private boolean unanswered;

    private static final class Gate {
        final RateShare share;
        final RateFallback fallback = new RateFallback();
        final Deque<Waiter> waiters = new ArrayDeque<>();
        long retryAtNanos;
        boolean exhausted;

        Gate(long nowNanos) {
            share = new RateShare(LOOKAHEAD_NANOS, nowNanos);
            retryAtNanos = nowNanos;
        }
    }

    private record Waiter(Promise<Void> promise, long patienceNanos, long deadlineNanos) {}

    /**
     * Creates the gate.
     *
     * @param settings the process's settings
     * @param directory knows accounts and proxies
     */
    public RateGate(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        link = kernel.find(ControlLink.NAME, ControlLink.class);
        MeterRegistry registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        asked = registry.counter("chivevale.proxy.rate.requests");
        refused = registry.counter("chivevale.proxy.rate.refused");
        returnedNanos = EventLoop.nowNanos();
        loop.every(RETURN_TICK_MILLIS, this::ask);
    }

    /** Looks after waiting requests, as long as there are any. */
    private void tickWhileWaiting() {
        if (ticking) {
            return;
        }
        ticking = true;
        loop.vertx()
                .setTimer(
                        WAITING_TICK_MILLIS,
                        ignored -> {
                            ticking = false;
                            tick();
                            boolean waiting =
                                    gates.values().stream()
                                            .anyMatch(gate -> !gate.waiters.isEmpty());
                            if (waiting) {
                                tickWhileWaiting();
                            }
                        });
    }

    /**
     * Spends a token, waiting for one if need be.
     *
     * @param account the client account
     * @param deadlineNanos the request's deadline
     * @return completes when the request may run; fails with RATE_EXCEEDED or RATE_OWNER_MISSING
     */
    public Future<Void> admit(ClientAccountId account, long deadlineNanos) {
        long now = EventLoop.nowNanos();
        Gate gate = gates.computeIfAbsent(account, key -> new Gate(now));
        if (gate.waiters.isEmpty() && gate.share.tryTake(now)) {
            if (gate.share.isLow(now)) {
                ask();
            }
            return Future.succeededFuture();
        }
        if (gate.waiters.size() >= MAX_WAITING) {
            return Future.failedFuture(exceeded(account, gate, now));
        }
        noteScarcity(account, gate);
        long patience = now + settings.timing().ratePatienceMillis() * NANOS_PER_MILLI;
        Promise<Void> promise = Promise.promise();
        gate.waiters.addLast(new Waiter(promise, Math.min(patience, deadlineNanos), deadlineNanos));
        ask();
        tickWhileWaiting();
        return promise.future();
    }

    private void noteScarcity(ClientAccountId account, Gate gate) {
        Account known = directory.configuration().account(account);
        if (known != null) {
            gate.share.updateSharing(known.burst(), Math.max(1, directory.proxies().size()));
        }
    }

    private ChivevaleException exceeded(ClientAccountId account, Gate gate, long nowNanos) {
        refused.increment();
        long waitMillis = Math.max(1, (gate.retryAtNanos - nowNanos) / NANOS_PER_MILLI);
        return new ChivevaleException(
                ResultCode.RATE_EXCEEDED,
                "client account "
                        + account
                        + " is above its rate; next token in "
                        + waitMillis
                        + " ms at the earliest");
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        if (unanswered && now - unansweredSinceNanos > OUTAGE_NANOS) {
            gates.forEach((account, gate) -> serveFromFallback(account, gate, now));
        }
        gates.forEach((account, gate) -> expire(account, gate, now));
        ask();
    }

    /** While nobody answers, waiters are served from a part of this proxy's even share. */
    private void serveFromFallback(ClientAccountId account, Gate gate, long nowNanos) {
        Account known = directory.configuration().account(account);
        if (known == null || !directory.leased(nowNanos)) {
            return;
        }
        int proxies = directory.proxies().size();
        while (!gate.waiters.isEmpty()
                && gate.fallback.tryTake(known.ratePerSecond(), proxies, nowNanos)) {
            gate.waiters.removeFirst().promise().complete();
        }
    }

    private void expire(ClientAccountId account, Gate gate, long nowNanos) {
        while (!gate.waiters.isEmpty()) {
            Waiter first = gate.waiters.peekFirst();
            boolean impatient = gate.exhausted && nowNanos - first.patienceNanos() >= 0;
            if (impatient) {
                gate.waiters.removeFirst();
                first.promise().fail(exceeded(account, gate, nowNanos));
            } else if (nowNanos - first.deadlineNanos() >= 0) {
                gate.waiters.removeFirst();
                first.promise()
                        .fail(
                                new ChivevaleException(
                                        ResultCode.RATE_OWNER_MISSING,
                                        "no answer on the rate of client account " + account));
            } else {
                return;
            }
        }
    }

    private void ask() {
        long now = EventLoop.nowNanos();
        RateRequest.Builder request = RateRequest.newBuilder();
        boolean returning = now - returnedNanos >= RETURN_EVERY_NANOS;
        boolean any = false;
        for (Map.Entry<ClientAccountId, Gate> entry : gates.entrySet()) {
            Gate gate = entry.getValue();
            boolean wants = wants(gate, now);
            any |= wants || returning && gate.share.hasClosedGrants(now);
        }
        if (any && !unanswered) {
            unanswered = true;
            unansweredSinceNanos = now;
        }
        if (!any || !link.canAskRates()) {
            return;
        }
        gates.forEach((account, gate) -> addWant(request, account, gate, now));
        returnedNanos = now;
        asked.increment();
        link.askRates(request, answer -> answered(answer, now));
    }

    private static boolean wants(Gate gate, long nowNanos) {
        boolean due = nowNanos - gate.retryAtNanos >= 0;
        return due && (!gate.waiters.isEmpty() || gate.share.isLow(nowNanos));
    }

    private static void addWant(
            RateRequest.Builder request, ClientAccountId account, Gate gate, long nowNanos) {
        boolean wants = wants(gate, nowNanos);
        List<RateShare.Closed> closed = gate.share.drainClosedGrants(nowNanos);
        if (!wants && closed.isEmpty()) {
            return;
        }
        RateWant.Builder want = RateWant.newBuilder().setAccountId(account.value());
        if (wants) {
            want.setWanted(gate.share.tokensToRequest(gate.waiters.size(), nowNanos));
        }
        for (RateShare.Closed one : closed) {
            want.addClosedGrantIds(one.grantId()).addClosedUnused(one.unused());
        }
        request.addWants(want);
    }

    private void answered(RateAnswer answer, long askedAtNanos) {
        long now = EventLoop.nowNanos();
        if (answer.getGrantsCount() > 0) {
            unanswered = false;
            gates.values().forEach(gate -> gate.fallback.end());
        }
        for (RateGrant grant : answer.getGrantsList()) {
            ClientAccountId account = new ClientAccountId(grant.getAccountId());
            Gate gate = gates.get(account);
            if (gate != null) {
                take(gate, grant, askedAtNanos, now);
                expire(account, gate, now);
            }
        }
        ask();
    }

    private void take(Gate gate, RateGrant grant, long askedAtNanos, long nowNanos) {
        if (grant.getTokens() == 0) {
            if (grant.getRetryAfterMillis() > 0) {
                gate.exhausted = true;
                gate.retryAtNanos = nowNanos + grant.getRetryAfterMillis() * NANOS_PER_MILLI;
            }
            return;
        }
        gate.exhausted = false;
        gate.share.addGrant(
                grant.getGrantId(),
                grant.getTokens(),
                askedAtNanos + grant.getValidMillis() * NANOS_PER_MILLI);
        Iterator<Waiter> waiters = gate.waiters.iterator();
        while (waiters.hasNext()) {
            Waiter waiter = waiters.next();
            if (!gate.share.tryTake(nowNanos)) {
                return;
            }
            waiters.remove();
            waiter.promise().complete();
        }
    }
}
