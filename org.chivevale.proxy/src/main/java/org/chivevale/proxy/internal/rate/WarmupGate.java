package org.chivevale.proxy.internal.rate;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.chivevale.core.config.Database;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.rate.RestartWatch;
import org.chivevale.core.rate.WarmupTarget;
import org.chivevale.core.rate.WarmupTokens;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.RateParticipant;
import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateRequest;
import org.chivevale.wire.proto.WarmupGrant;
import org.chivevale.wire.proto.WarmupWant;

/**
 * Admits requests to cold endpoints with tokens of their owner at control.
 *
 * <p>Invariants: a request to a cold endpoint is admitted only with an unexpired token; a cold
 * endpoint of a database without a warm-up rate gets none; an endpoint that is not cold costs no
 * message. Used on the event loop.
 */
public final class WarmupGate implements RateParticipant {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 10;

    /** By then an endpoint that has replied has announced itself and proxies were told. */
    private static final long ANNOUNCEMENT_NANOS = 3_000 * NANOS_PER_MILLI;

    private final EventLoop loop;
    private final Directory directory;
    private final ControlLink link;
    private final WarmupTokens tokens = new WarmupTokens();
    private final RestartWatch restarts = new RestartWatch(ANNOUNCEMENT_NANOS);
    private final Counter granted;
    private final Counter spent;
    private final Counter deferred;
    private Runnable onGranted = () -> {};
    private boolean isTickScheduled;

    /**
     * Creates the gate; it takes part in requests for tokens after {@link #start}.
     *
     * @param loop the event loop
     * @param directory says which endpoints are cold
     * @param link requests the tokens
     * @param registry of the metrics
     */
    public WarmupGate(
            EventLoop loop, Directory directory, ControlLink link, MeterRegistry registry) {
        this.loop = loop;
        this.directory = directory;
        this.link = link;
        this.granted = registry.counter("chivevale.proxy.warmup.tokens.granted");
        this.spent = registry.counter("chivevale.proxy.warmup.tokens.spent");
        this.deferred = registry.counter("chivevale.proxy.warmup.deferred");
    }

    /**
     * Starts to request tokens; called on the event loop.
     *
     * @param tokensGranted runs after tokens were granted, so that waiting requests can go on
     */
    public void start(Runnable tokensGranted) {
        onGranted = tokensGranted;
        link.addRateParticipant(this);
        directory.addListener(this::onDirectoryChanged);
    }

    private void onDirectoryChanged() {
        restarts.onMembersChanged(
                target -> directory.incarnation(target.group(), target.endpoint()));
        tokens.retain(target -> isCold(target.group(), target.endpoint()));
    }

    /**
     * Tells whether an endpoint needs tokens.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @return true while it is known or presumed to be cold
     */
    public boolean isCold(GroupId group, EndpointId endpoint) {
        return directory.isCold(group, endpoint)
                || !restarts.isEmpty()
                        && restarts.isPresumedCold(
                                new WarmupTarget(group, endpoint), EventLoop.nowNanos());
    }

    /**
     * Returns true while an endpoint is chosen only with a token; attempts to connect need none.
     */
    private boolean isExcluded(GroupId group, EndpointId endpoint) {
        return directory.isCold(group, endpoint)
                || !restarts.isEmpty()
                        && restarts.isBackAndPresumedCold(
                                new WarmupTarget(group, endpoint), EventLoop.nowNanos());
    }

    /**
     * Notes the end of an attempt at an endpoint.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @param refused true when nothing listens at its address
     * @param replied true when it has accepted a connection or replied
     */
    public void recordAttempt(
            GroupId group, EndpointId endpoint, boolean refused, boolean replied) {
        if (refused && hasRate(group)) {
            restarts.onRefused(
                    new WarmupTarget(group, endpoint), directory.incarnation(group, endpoint));
        } else if (replied && !restarts.isEmpty()) {
            restarts.onReply(new WarmupTarget(group, endpoint), EventLoop.nowNanos());
        }
    }

    /**
     * Tells whether an endpoint may be chosen now; if not, requests a token for it.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @param requester the request
     * @return true for an endpoint that is not cold, or while a token is held
     */
    public boolean isUsable(GroupId group, EndpointId endpoint, Object requester) {
        if (!isExcluded(group, endpoint)) {
            return true;
        }
        WarmupTarget target = new WarmupTarget(group, endpoint);
        if (hasRate(group) && tokens.isAvailable(target, EventLoop.nowNanos())) {
            return true;
        }
        request(target, requester);
        return false;
    }

    /**
     * Tells whether an endpoint may be chosen now.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @return true for an endpoint that is not cold, or while a token is held
     */
    public boolean isUsable(GroupId group, EndpointId endpoint) {
        return !isExcluded(group, endpoint)
                || hasRate(group)
                        && tokens.isAvailable(
                                new WarmupTarget(group, endpoint), EventLoop.nowNanos());
    }

    /**
     * Admits a request that is sent directly afterwards; if it may not be sent, requests a token.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @param requester the request
     * @return false when the request may not be sent now
     */
    public boolean tryAdmit(GroupId group, EndpointId endpoint, Object requester) {
        if (!isCold(group, endpoint)) {
            return true;
        }
        WarmupTarget target = new WarmupTarget(group, endpoint);
        if (hasRate(group) && tokens.trySpend(target, EventLoop.nowNanos())) {
            spent.increment();
            return true;
        }
        request(target, requester);
        return false;
    }

    private boolean hasRate(GroupId group) {
        Database database = directory.configuration().database(group.database());
        return database != null && database.warmupRatePerSecond() > 0;
    }

    private void request(WarmupTarget target, Object requester) {
        deferred.increment();
        if (hasRate(target.group())) {
            tokens.want(target, requester, EventLoop.nowNanos());
            sendDueWants();
        }
    }

    /** Requests tokens now, or as soon as they are due and no other request is in flight. */
    private void sendDueWants() {
        if (tokens.hasDueWants(EventLoop.nowNanos()) && link.canRequestRates()) {
            link.requestRates(RateRequest.newBuilder(), answer -> {});
        }
        if (tokens.hasWants() && !isTickScheduled) {
            isTickScheduled = true;
            loop.vertx()
                    .setTimer(
                            TICK_MILLIS,
                            timer -> {
                                isTickScheduled = false;
                                sendDueWants();
                            });
        }
    }

    @Override
    public void addTo(RateRequest.Builder request, long nowNanos) {
        for (WarmupTokens.Want want : tokens.takeWants(nowNanos)) {
            request.addWarmupWants(
                    WarmupWant.newBuilder()
                            .setGroupId(want.target().group().toString())
                            .setEndpointId(want.target().endpoint().value())
                            .setWanted(want.tokens()));
        }
    }

    @Override
    public void onRateAnswer(RateAnswer answer, long sentAtNanos) {
        boolean any = false;
        for (WarmupGrant grant : answer.getWarmupGrantsList()) {
            granted.increment(grant.getTokens());
            any |= grant.getTokens() > 0;
            tokens.addGrant(
                    new WarmupTarget(
                            GroupId.parse(grant.getGroupId()),
                            new EndpointId(grant.getEndpointId())),
                    grant.getTokens(),
                    sentAtNanos + grant.getValidMillis() * NANOS_PER_MILLI,
                    EventLoop.nowNanos());
        }
        if (any) {
            onGranted.run();
        }
    }
}
