package org.chivevale.proxy.internal.fleet;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.rate.RateRequests;
import org.chivevale.wire.FrameClient;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateRequest;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;
import org.jboss.logging.Logger;

/**
 * Renews the proxy's lease at the leader of control and requests rate tokens there.
 *
 * <p>Invariants: one renewal is in flight at a time; its answer is applied with its own send time,
 * and not at all once it has been given up; a request for tokens ends with its connection; after a
 * control process has not responded, or is not the leader, the next address is tried. Used on the
 * event loop.
 */
public final class ControlLink implements Service, RateRequests {
    /** Name in the kernel. */
    public static final String NAME = "control-link";

    private static final Logger LOG = Logger.getLogger(ControlLink.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 40;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final long RESPONSE_TIMEOUT_MILLIS = 600;

    /** A leader answers requests for rate tokens at once, unlike renewals. */
    private static final long RATE_TIMEOUT_MILLIS = 300;

    private static final long RETRY_MILLIS = 40;
    private static final long NO_ADDRESS_RETRY_NANOS = 2_000 * NANOS_PER_MILLI;

    /** How long a fence is delayed at most for statements in flight at the primary. */
    private static final long FENCE_WAIT_NANOS = 250 * NANOS_PER_MILLI;

    private static final long FENCE_POLL_MILLIS = 5;

    private final ProxySettings settings;
    private final Directory directory;
    private final MemberScope scope;
    private final long incarnation = System.currentTimeMillis();
    private final List<RenewalParticipant> renewalParticipants = new ArrayList<>();
    private final List<FenceParticipant> fenceParticipants = new ArrayList<>();
    private final List<RateParticipant> rateParticipants = new ArrayList<>();
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private EventLoop loop;
    private Timer renewTimer;
    private Counter lostRenewals;
    private FrameConnection connection;
    private HostPort target;
    private boolean isConnecting;
    private final ControlAddresses addresses;
    private long sequence;

    /** The renewal whose answer has not been applied; null when there is none. */
    private Renewal renewal;

    private boolean responseReceived;
    private boolean renewAgain;
    private long nextRenewNanos;
    private boolean isStopping;
    private boolean wasLeased;
    private Runnable onDeregistered = () -> {};
    private long rateCorrelation;
    private long rateSentAtNanos;
    private Consumer<RateAnswer> rateCallback;

    /** A renewal that was sent. */
    private record Renewal(long correlationId, long sentAtNanos, boolean isLeaving) {}

    /**
     * Creates the link.
     *
     * @param settings the process's settings
     * @param directory stores the lease, configuration and members that control sends
     * @param scope which members control has to send
     */
    public ControlLink(ProxySettings settings, Directory directory, MemberScope scope) {
        this.settings = settings;
        this.directory = directory;
        this.scope = scope;
        this.addresses = new ControlAddresses(settings.control());
    }

    /**
     * Adds a service to all later renewals.
     *
     * @param participant called on the event loop
     */
    public void addRenewalParticipant(RenewalParticipant participant) {
        renewalParticipants.add(participant);
    }

    /**
     * Adds a service that may delay fences.
     *
     * @param participant called on the event loop
     */
    public void addFenceParticipant(FenceParticipant participant) {
        fenceParticipants.add(participant);
    }

    /**
     * Adds a service to all later requests for rate tokens.
     *
     * @param participant called on the event loop
     */
    public void addRateParticipant(RateParticipant participant) {
        rateParticipants.add(participant);
    }

    /**
     * Replaces the configured addresses of control, as after a reload of the settings.
     *
     * @param changed the addresses; while there are none, no lease is requested
     */
    public void setSeeds(List<HostPort> changed) {
        addresses.setSeeds(changed);
        if (target == null) {
            nextRenewNanos = EventLoop.nowNanos();
        }
    }

    /**
     * Returns the incarnation, which tells this process from an earlier one with the same id.
     *
     * @return the time at which this link was created, in milliseconds since the epoch
     */
    public long incarnation() {
        return incarnation;
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        MeterRegistry registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        renewTimer = registry.timer("chivevale.proxy.lease.renewal");
        lostRenewals = registry.counter("chivevale.proxy.lease.renewals.lost");
        registry.gauge(
                "chivevale.proxy.lease.held",
                directory,
                state -> state.isLeased(EventLoop.nowNanos()) ? 1 : 0);
        registry.gauge("chivevale.proxy.fleet.proxies", directory, Directory::proxyCount);
        loop.repeat(
                () -> {
                    tick();
                    boolean isWaiting =
                            renewal != null || rateCallback != null || connection == null;
                    return isWaiting ? TICK_MILLIS : EventLoop.LONGEST_PAUSE_MILLIS;
                });
    }

    /** Renews as soon as possible, to report a change or to fetch one. */
    public void renewSoon() {
        if (renewal != null) {
            renewAgain = true;
        } else {
            nextRenewNanos = EventLoop.nowNanos();
            tick();
        }
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        logLeaseChange(now);
        if (renewal != null
                && !responseReceived
                && now - renewal.sentAtNanos() > RESPONSE_TIMEOUT_MILLIS * NANOS_PER_MILLI) {
            onSilence(now);
        }
        boolean rateTimedOut =
                rateCallback != null
                        && now - rateSentAtNanos > RATE_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        if (rateTimedOut) {
            onSilence(now);
        }
        if (renewal != null || now - nextRenewNanos < 0) {
            return;
        }
        if (connection == null) {
            connect();
        } else {
            renew(now);
        }
    }

    private void logLeaseChange(long nowNanos) {
        boolean leased = directory.isLeased(nowNanos);
        if (leased != wasLeased) {
            wasLeased = leased;
            LOG.infof(
                    "fleet lease %s: configuration %d, log version %d",
                    leased ? "held" : "lost",
                    directory.configuration().desiredVersion(),
                    directory.configuration().version());
        }
    }

    /** Moves on from a control process that has not responded in time. */
    private void onSilence(long nowNanos) {
        lostRenewals.increment();
        addresses.markSilent(target, nowNanos);
        retryAtNextAddress();
    }

    private void retryAtNextAddress() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
        renewal = null;
        directory.endFencing();
        if (rateCallback != null) {
            completeRateRequest(RateAnswer.getDefaultInstance());
        }
        renewalParticipants.forEach(RenewalParticipant::onRenewalLost);
        addresses.advance();
        nextRenewNanos = EventLoop.nowNanos() + RETRY_MILLIS * NANOS_PER_MILLI;
    }

    private void connect() {
        if (isConnecting) {
            return;
        }
        target = addresses.next(EventLoop.nowNanos());
        if (target == null) {
            LOG.warn("no address of control is set");
            nextRenewNanos = EventLoop.nowNanos() + NO_ADDRESS_RETRY_NANOS;
            return;
        }
        isConnecting = true;
        client.connect(
                target.host(),
                target.port(),
                new Listener(),
                opened -> loop.run(() -> onConnected(opened)));
    }

    private void onConnected(FrameConnection opened) {
        isConnecting = false;
        if (opened == null) {
            retryAtNextAddress();
            return;
        }
        connection = opened;
        renew(EventLoop.nowNanos());
    }

    private void renew(long nowNanos) {
        sequence++;
        renewal = new Renewal(sequence, nowNanos, isStopping);
        responseReceived = false;
        renewAgain = false;
        RenewRequest.Builder request =
                RenewRequest.newBuilder()
                        .setProxyId(settings.id())
                        .setIncarnation(incarnation)
                        .setSequence(sequence)
                        .setRegion(settings.region())
                        .setDataCenter(settings.dataCenter())
                        .setForwardHost(settings.forwardListen().host())
                        .setForwardPort(settings.forwardListen().port())
                        .setConfigVersion(directory.configuration().version())
                        .setMembersVersion(directory.membersVersion())
                        .setEndpointsOnly(scope == MemberScope.ENDPOINTS)
                        .setLeaving(renewal.isLeaving());
        renewalParticipants.forEach(participant -> participant.addTo(request));
        connection.send(
                Frame.newBuilder().setCorrelationId(sequence).setRenewRequest(request).build());
    }

    /** Passes frames from the I/O thread to the event loop. */
    private final class Listener implements FrameListener {
        @Override
        public void received(FrameConnection from, Frame frame) {
            loop.run(() -> handle(from, frame));
        }

        @Override
        public void closed(FrameConnection from) {
            loop.run(
                    () -> {
                        if (from == connection) {
                            retryAtNextAddress();
                        }
                    });
        }
    }

    private void handle(FrameConnection from, Frame frame) {
        if (from != connection) {
            return;
        }
        switch (frame.getBodyCase()) {
            case RENEW_ANSWER -> {
                boolean isAwaited =
                        renewal != null
                                && frame.getCorrelationId() == renewal.correlationId()
                                && !responseReceived;
                if (isAwaited) {
                    runGuarded(() -> handleRenewal(frame.getRenewAnswer()));
                }
            }
            case RATE_ANSWER -> {
                if (frame.getCorrelationId() == rateCorrelation && rateCallback != null) {
                    completeRateRequest(frame.getRateAnswer());
                }
            }
            case CHANGE_PUSH -> {
                boolean newer =
                        frame.getChangePush().getConfigVersion()
                                        > directory.configuration().version()
                                || frame.getChangePush().getMembersVersion()
                                        != directory.membersVersion();
                if (newer) {
                    renewSoon();
                }
            }
            case ERROR_ANSWER -> {
                addresses.setLeader(frame.getErrorAnswer().getMessage(), EventLoop.nowNanos());
                retryAtNextAddress();
                if (addresses.hasLeader()) {
                    renewSoon();
                }
            }
            default -> retryAtNextAddress();
        }
    }

    /** Runs a step of a renewal; an answer that cannot be applied counts as none. */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.warn("cannot apply an answer of control", e);
            retryAtNextAddress();
        }
    }

    private void handleRenewal(RenewAnswer answer) {
        long now = EventLoop.nowNanos();
        responseReceived = true;
        renewTimer.record(now - renewal.sentAtNanos(), TimeUnit.NANOSECONDS);
        if (isStopping) {
            leave(now);
            return;
        }
        if (!answer.getGranted()) {
            retryAtNextAddress();
            return;
        }
        addresses.setMembers(answer.getControlAddressesList());
        applyAfterReplies(renewal, answer, directory.beginFencing(answer), now);
    }

    /**
     * Ends the lease once control has been told so; an answer to an earlier renewal tells nothing.
     */
    private void leave(long nowNanos) {
        if (renewal.isLeaving()) {
            renewal = null;
            directory.dropLease();
            onDeregistered.run();
        } else {
            renew(nowNanos);
        }
    }

    /**
     * Applies a response to a renewal. A fence first waits up to {@link #FENCE_WAIT_NANOS} for
     * statements in flight at the primary, since their replies do not count afterwards.
     */
    private void applyAfterReplies(
            Renewal answered, RenewAnswer answer, Set<GroupId> fenced, long sinceNanos) {
        if (answered != renewal) {
            return;
        }
        long now = EventLoop.nowNanos();
        boolean hasToWait =
                now - sinceNanos < FENCE_WAIT_NANOS
                        && fenced.stream().anyMatch(group -> isFenceDelayed(group, now));
        if (hasToWait) {
            loop.vertx()
                    .setTimer(
                            FENCE_POLL_MILLIS,
                            timer ->
                                    runGuarded(
                                            () ->
                                                    applyAfterReplies(
                                                            answered, answer, fenced, sinceNanos)));
            return;
        }
        apply(answer);
    }

    private boolean isFenceDelayed(GroupId group, long nowNanos) {
        return fenceParticipants.stream()
                .anyMatch(participant -> participant.delaysFence(group, nowNanos));
    }

    private void apply(RenewAnswer answer) {
        long now = EventLoop.nowNanos();
        long sentAtNanos = renewal.sentAtNanos();
        renewal = null;
        long versionBefore = directory.configuration().version();
        directory.applyRenewal(answer, sentAtNanos);
        renewalParticipants.forEach(participant -> participant.onRenewed(answer));
        boolean hasNewVersion = directory.configuration().version() != versionBefore;
        boolean isDue = renewAgain || hasNewVersion;
        nextRenewNanos = isDue ? now : now + settings.timing().renewMillis() * NANOS_PER_MILLI;
        if (isDue) {
            tick();
        }
    }

    /**
     * Returns whether rate tokens can be requested now.
     *
     * @return false while a request is in flight or there is no connection
     */
    @Override
    public boolean canRequestRates() {
        return rateCallback == null && connection != null;
    }

    /**
     * Requests rate tokens from their owner; one request is in flight at a time.
     *
     * @param request the tokens wanted and returned
     * @param onAnswer receives the response; one without grants after a timeout
     */
    @Override
    public void requestRates(RateRequest.Builder request, Consumer<RateAnswer> onAnswer) {
        rateCorrelation++;
        rateSentAtNanos = EventLoop.nowNanos();
        rateCallback = onAnswer;
        rateParticipants.forEach(participant -> participant.addTo(request, rateSentAtNanos));
        request.setProxyId(settings.id()).setIncarnation(incarnation);
        connection.send(
                Frame.newBuilder()
                        .setCorrelationId(rateCorrelation)
                        .setRateRequest(request)
                        .build());
    }

    private void completeRateRequest(RateAnswer answer) {
        Consumer<RateAnswer> callback = rateCallback;
        rateCallback = null;
        long sentAtNanos = rateSentAtNanos;
        rateParticipants.forEach(participant -> participant.onRateAnswer(answer, sentAtNanos));
        callback.accept(answer);
    }

    @Override
    public void stop() {
        CountDownLatch done = new CountDownLatch(1);
        loop.run(
                () -> {
                    isStopping = true;
                    onDeregistered = done::countDown;
                    renewSoon();
                });
        try {
            done.await(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        client.close();
    }
}
