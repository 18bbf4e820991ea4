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
import java.util.function.Consumer;
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
 * Limits requests to the rate and burst of their client account.
 *
 * <p>The tokens of an account's bucket are granted by the owner of rates at control. Invariants:
 * each admitted request has spent a granted token or, while the owner does not respond, one of the
 * local fallback; a request is rejected with RATE_EXCEEDED only after the owner has reported an
 * empty bucket or the queue is full; a request that cannot get a token while it may wait is
 * rejected on arrival. Used on the event loop.
 */
public final class RateLimiter implements Service {
    /** Name in the kernel. */
    public static final String NAME = "rate-gate";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long WAITING_TICK_MILLIS = 5;
    private static final long RETURN_TICK_MILLIS = 100;

    /** Demand for which tokens are held, about the time that the election of a leader takes. */
    private static final long COVER_NANOS = 800 * NANOS_PER_MILLI;

    /** Silence of the owner that no change of the leader explains. */
    private static final long OWNER_CHANGE_NANOS = 1_200 * NANOS_PER_MILLI;

    private static final long RETURN_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;

    /** Time without a response after which the owner counts as unreachable. */
    private static final long OWNER_OUTAGE_NANOS = 150 * NANOS_PER_MILLI;

    private static final int MAX_WAITERS = 1000;

    private final ProxySettings settings;
    private final Directory directory;
    private final Map<ClientAccountId, AccountLimiter> limiters = new HashMap<>();
    private RateRequests link;
    private Consumer<Runnable> runAfterTick;

    /**
     * Outcomes of waiters, delivered once no collection is being iterated over: a caller that is
     * told one may send its next request at once.
     */
    private final Deque<Runnable> outcomes = new ArrayDeque<>();

    private boolean isTickScheduled;
    private Counter requests;
    private Counter rejections;
    private long lastReturnNanos;
    private long awaitingSinceNanos;
    private boolean isAwaitingOwner;

    private static final class AccountLimiter {
        final RateShare share;
        final RateFallback fallback = new RateFallback();
        final Deque<Waiter> waiters = new ArrayDeque<>();
        long retryAtNanos;
        boolean isExhausted;

        /** Requests were not queued since the owner was silent; it is to be asked again. */
        boolean hasRejected;

        AccountLimiter(long nowNanos) {
            share = new RateShare(COVER_NANOS, nowNanos);
            retryAtNanos = nowNanos;
        }
    }

    private record Waiter(Promise<Void> promise, long waitEndNanos, long deadlineNanos) {}

    /**
     * Creates the rate limiter.
     *
     * @param settings the process's settings
     * @param directory accounts and proxies
     */
    public RateLimiter(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        start(
                kernel.find(ControlLink.NAME, ControlLink.class),
                kernel.find(Metrics.NAME, Metrics.class).registry(),
                tick -> loop.vertx().setTimer(WAITING_TICK_MILLIS, ignored -> tick.run()));
        loop.every(RETURN_TICK_MILLIS, this::requestTokens);
    }

    /** Starts without an event loop; the scheduler runs an action once after a short time. */
    void start(RateRequests owner, MeterRegistry registry, Consumer<Runnable> scheduler) {
        link = owner;
        runAfterTick = scheduler;
        requests = registry.counter("chivevale.proxy.rate.requests");
        rejections = registry.counter("chivevale.proxy.rate.refused");
        lastReturnNanos = EventLoop.nowNanos();
    }

    /** Checks waiting requests periodically, as long as there are any. */
    private void scheduleTick() {
        if (isTickScheduled) {
            return;
        }
        isTickScheduled = true;
        runAfterTick.accept(
                () -> {
                    isTickScheduled = false;
                    tick();
                    boolean waiting =
                            limiters.values().stream()
                                    .anyMatch(limiter -> !limiter.waiters.isEmpty());
                    if (waiting) {
                        scheduleTick();
                    }
                });
    }

    /**
     * Spends a token of the account and waits for one as long as the settings allow.
     *
     * @param account the client account
     * @param deadlineNanos the request's deadline
     * @return completes when the request may run; fails with RATE_EXCEEDED or RATE_OWNER_MISSING
     */
    public Future<Void> admit(ClientAccountId account, long deadlineNanos) {
        long waitEndNanos =
                EventLoop.nowNanos() + settings.timing().maxRateWaitMillis() * NANOS_PER_MILLI;
        return admit(account, waitEndNanos, deadlineNanos);
    }

    /**
     * Spends a token of the account and waits for one if necessary.
     *
     * @param account the client account
     * @param waitEndNanos until when the request may wait while the account is above its rate
     * @param deadlineNanos until when it may wait for an answer of the rate's owner
     * @return completes when the request may run; fails with RATE_EXCEEDED or RATE_OWNER_MISSING
     */
    public Future<Void> admit(ClientAccountId account, long waitEndNanos, long deadlineNanos) {
        long now = EventLoop.nowNanos();
        AccountLimiter limiter = limiters.computeIfAbsent(account, key -> new AccountLimiter(now));
        if (limiter.waiters.isEmpty() && limiter.share.tryTake(now)) {
            if (limiter.share.isLow(now)) {
                requestTokens();
            }
            return Future.succeededFuture();
        }
        if (ownerSilenceNanos(now) > OWNER_CHANGE_NANOS) {
            limiter.hasRejected = true;
            requestTokens();
            return takeFromFallback(account, limiter, now)
                    ? Future.succeededFuture()
                    : Future.failedFuture(ownerMissing(account));
        }
        if (limiter.waiters.size() >= MAX_WAITERS || comesTooLate(account, limiter, waitEndNanos)) {
            return Future.failedFuture(rateExceeded(account, limiter, now));
        }
        Promise<Void> promise = Promise.promise();
        limiter.waiters.addLast(
                new Waiter(promise, Math.min(waitEndNanos, deadlineNanos), deadlineNanos));
        requestTokens();
        scheduleTick();
        return promise.future();
    }

    /** Returns true when the token of a new waiter comes too late even if no other proxy asks. */
    private boolean comesTooLate(
            ClientAccountId account, AccountLimiter limiter, long waitEndNanos) {
        Account configured = directory.configuration().account(account);
        if (!limiter.isExhausted || configured == null) {
            return false;
        }
        double tokenNanos = NANOS_PER_SECOND / configured.ratePerSecond();
        long earliestNanos = limiter.retryAtNanos + (long) (limiter.waiters.size() * tokenNanos);
        return earliestNanos - waitEndNanos > 0;
    }

    private long ownerSilenceNanos(long nowNanos) {
        return isAwaitingOwner ? nowNanos - awaitingSinceNanos : 0;
    }

    private static ChivevaleException ownerMissing(ClientAccountId account) {
        return new ChivevaleException(
                ResultCode.RATE_OWNER_MISSING,
                "no answer on the rate of client account " + account);
    }

    private ChivevaleException rateExceeded(
            ClientAccountId account, AccountLimiter limiter, long nowNanos) {
        rejections.increment();
        long waitMillis = Math.max(1, (limiter.retryAtNanos - nowNanos) / NANOS_PER_MILLI);
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
        if (ownerSilenceNanos(now) > OWNER_OUTAGE_NANOS) {
            limiters.forEach((account, limiter) -> admitFromFallback(account, limiter, now));
        }
        limiters.forEach((account, limiter) -> expireWaiters(account, limiter, now));
        deliverOutcomes();
        requestTokens();
    }

    private void deliverOutcomes() {
        while (!outcomes.isEmpty()) {
            outcomes.removeFirst().run();
        }
    }

    private void admitFromFallback(ClientAccountId account, AccountLimiter limiter, long nowNanos) {
        while (!limiter.waiters.isEmpty() && takeFromFallback(account, limiter, nowNanos)) {
            outcomes.addLast(limiter.waiters.removeFirst().promise()::complete);
        }
    }

    /** Takes from a part of this proxy's even share, while the owner does not respond. */
    private boolean takeFromFallback(
            ClientAccountId account, AccountLimiter limiter, long nowNanos) {
        Account configured = directory.configuration().account(account);
        boolean isTaken =
                configured != null
                        && directory.isLeased(nowNanos)
                        && limiter.fallback.tryTake(
                                configured.ratePerSecond(),
                                directory.proxyCount(),
                                limiter.share.meanPerSecond(nowNanos),
                                awaitingSinceNanos,
                                nowNanos);
        if (isTaken) {
            limiter.share.recordSpent(nowNanos);
        }
        return isTaken;
    }

    private void expireWaiters(ClientAccountId account, AccountLimiter limiter, long nowNanos) {
        Iterator<Waiter> waiters = limiter.waiters.iterator();
        while (waiters.hasNext()) {
            Waiter waiter = waiters.next();
            boolean isExceeded = limiter.isExhausted && nowNanos - waiter.waitEndNanos() >= 0;
            if (isExceeded || nowNanos - waiter.deadlineNanos() >= 0) {
                waiters.remove();
                ChivevaleException failure =
                        isExceeded
                                ? rateExceeded(account, limiter, nowNanos)
                                : ownerMissing(account);
                outcomes.addLast(() -> waiter.promise().fail(failure));
            }
        }
    }

    private void requestTokens() {
        long now = EventLoop.nowNanos();
        RateRequest.Builder request = RateRequest.newBuilder();
        boolean mayReturn = now - lastReturnNanos >= RETURN_INTERVAL_NANOS;
        boolean isNeeded = false;
        for (Map.Entry<ClientAccountId, AccountLimiter> entry : limiters.entrySet()) {
            AccountLimiter limiter = entry.getValue();
            isNeeded |=
                    needsTokens(limiter, now) || mayReturn && limiter.share.hasClosedGrants(now);
        }
        if (isNeeded && !isAwaitingOwner) {
            isAwaitingOwner = true;
            awaitingSinceNanos = now;
        }
        if (!isNeeded || !link.canRequestRates()) {
            return;
        }
        limiters.forEach((account, limiter) -> addWant(request, account, limiter, now));
        lastReturnNanos = now;
        requests.increment();
        link.requestRates(request, answer -> onAnswer(answer, now));
    }

    private static boolean needsTokens(AccountLimiter limiter, long nowNanos) {
        boolean due = nowNanos - limiter.retryAtNanos >= 0;
        boolean isDemanded = !limiter.waiters.isEmpty() || limiter.hasRejected;
        return due && (isDemanded || limiter.share.isLow(nowNanos));
    }

    private static void addWant(
            RateRequest.Builder request,
            ClientAccountId account,
            AccountLimiter limiter,
            long nowNanos) {
        boolean wants = needsTokens(limiter, nowNanos);
        List<RateShare.Closed> closed = limiter.share.drainClosedGrants(nowNanos);
        if (!wants && closed.isEmpty()) {
            return;
        }
        RateWant.Builder want = RateWant.newBuilder().setAccountId(account.value());
        if (wants) {
            limiter.hasRejected = false;
            int ahead = limiter.share.tokensAhead(nowNanos);
            want.setWanted(limiter.waiters.size() + ahead).setAhead(ahead);
        }
        for (RateShare.Closed grant : closed) {
            want.addClosedGrantIds(grant.grantId()).addClosedUnused(grant.unused());
        }
        request.addWants(want);
    }

    private void onAnswer(RateAnswer answer, long sentAtNanos) {
        long now = EventLoop.nowNanos();
        if (answer.getGrantsCount() > 0) {
            isAwaitingOwner = false;
            limiters.values().forEach(limiter -> limiter.fallback.end());
        }
        for (RateGrant grant : answer.getGrantsList()) {
            ClientAccountId account = new ClientAccountId(grant.getAccountId());
            AccountLimiter limiter = limiters.get(account);
            if (limiter != null) {
                applyGrant(limiter, grant, sentAtNanos, now);
                expireWaiters(account, limiter, now);
            }
        }
        deliverOutcomes();
        requestTokens();
    }

    private void applyGrant(
            AccountLimiter limiter, RateGrant grant, long sentAtNanos, long nowNanos) {
        if (grant.getTokens() == 0) {
            if (grant.getRetryAfterMillis() > 0) {
                limiter.isExhausted = true;
                limiter.retryAtNanos = nowNanos + grant.getRetryAfterMillis() * NANOS_PER_MILLI;
            }
            limiter.share.pauseAhead(nowNanos);
            return;
        }
        limiter.isExhausted = false;
        limiter.share.addGrant(
                grant.getGrantId(),
                grant.getTokens(),
                sentAtNanos + grant.getValidMillis() * NANOS_PER_MILLI);
        while (!limiter.waiters.isEmpty() && limiter.share.tryTake(nowNanos)) {
            outcomes.addLast(limiter.waiters.removeFirst().promise()::complete);
        }
    }
}
