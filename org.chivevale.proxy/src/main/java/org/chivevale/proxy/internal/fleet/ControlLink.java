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
 * Keeps the fleet lease by renewing it at a control process.
 *
 * <p>Invariants: one renewal is under way at a time; a control process that does not answer, or
 * does not lead, is left for the next address. Used on the event loop.
 */
public final class ControlLink implements Service {
    /** Name in the kernel. */
    public static final String NAME = "control-link";

    private static final Logger LOG = Logger.getLogger(ControlLink.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 40;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final long ANSWER_TIMEOUT_MILLIS = 600;
    private static final long RETRY_MILLIS = 40;
    private static final long FENCE_WAIT_NANOS = 250 * NANOS_PER_MILLI;
    private static final long FENCE_POLL_MILLIS = 5;

    private final ProxySettings settings;
    private final Directory directory;
    private final long incarnation = System.currentTimeMillis();
    private final List<RenewalPart> parts = new ArrayList<>();
    private final List<FencePart> fenceParts = new ArrayList<>();
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private EventLoop loop;
    private Timer renewTimer;
    private Counter lostRenewals;
    private FrameConnection connection;
    private boolean connecting;
    private final ControlAddresses addresses;
    private long sequence;
    private boolean renewing;
    private boolean answered;
    private boolean renewAgain;
    private long askedAtNanos;
    private long nextRenewNanos;
    private boolean leaving;
    private boolean wasLeased;
    private Runnable left = () -> {};
    private long rateCorrelation;
    private long rateAskedAtNanos;
    private Consumer<RateAnswer> rateWaiter;

    /**
     * Creates the link.
     *
     * @param settings the process's settings
     * @param directory takes what control answers
     */
    public ControlLink(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
        this.addresses = new ControlAddresses(settings.control());
    }

    /**
     * Adds a part that speaks in renewals.
     *
     * @param part the part
     */
    public void add(RenewalPart part) {
        parts.add(part);
    }

    /**
     * Adds who may wait for statements before a fence.
     *
     * @param part asked on the event loop
     */
    public void add(FencePart part) {
        fenceParts.add(part);
    }

    /**
     * Takes other addresses of control, as after a change of the settings.
     *
     * @param changed where control may be
     */
    public void seeds(List<HostPort> changed) {
        addresses.seeds(changed);
    }

    /**
     * Returns what tells this process from an earlier one of the same name.
     *
     * @return the incarnation
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
                known -> known.leased(EventLoop.nowNanos()) ? 1 : 0);
        loop.every(TICK_MILLIS, this::tick);
    }

    /** Renews as soon as possible, because there is something to say or to learn. */
    public void renewSoon() {
        if (renewing) {
            renewAgain = true;
        } else {
            nextRenewNanos = EventLoop.nowNanos();
            tick();
        }
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        noteLease(now);
        if (renewing && !answered && now - askedAtNanos > ANSWER_TIMEOUT_MILLIS * NANOS_PER_MILLI) {
            lostRenewals.increment();
            abandon();
        }
        boolean rateLost =
                rateWaiter != null
                        && now - rateAskedAtNanos > ANSWER_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        if (rateLost) {
            endRateRequest(RateAnswer.getDefaultInstance());
        }
        if (renewing || now - nextRenewNanos < 0) {
            return;
        }
        if (connection == null) {
            connect();
        } else {
            renew(now);
        }
    }

    private void noteLease(long nowNanos) {
        boolean leased = directory.leased(nowNanos);
        if (leased != wasLeased) {
            wasLeased = leased;
            LOG.infof("fleet lease %s", leased ? "held" : "lost");
        }
    }

    private void abandon() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
        renewing = false;
        addresses.failed();
        nextRenewNanos = EventLoop.nowNanos() + RETRY_MILLIS * NANOS_PER_MILLI;
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        HostPort target = addresses.next();
        client.connect(
                target.host(),
                target.port(),
                new Listener(),
                opened -> loop.run(() -> connected(opened)));
    }

    private void connected(FrameConnection opened) {
        connecting = false;
        if (opened == null) {
            abandon();
            return;
        }
        connection = opened;
        renew(EventLoop.nowNanos());
    }

    private void renew(long nowNanos) {
        renewing = true;
        answered = false;
        renewAgain = false;
        askedAtNanos = nowNanos;
        sequence++;
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
                        .setLeaving(leaving);
        parts.forEach(part -> part.addTo(request));
        connection.send(
                Frame.newBuilder().setCorrelationId(sequence).setRenewRequest(request).build());
    }

    /** Hands frames from the I/O thread to the event loop. */
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
                            abandon();
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
                if (frame.getCorrelationId() == sequence && renewing && !answered) {
                    answered(frame.getRenewAnswer());
                }
            }
            case RATE_ANSWER -> {
                if (frame.getCorrelationId() == rateCorrelation && rateWaiter != null) {
                    endRateRequest(frame.getRateAnswer());
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
                addresses.leads(frame.getErrorAnswer().getMessage());
                abandon();
            }
            default -> abandon();
        }
    }

    private void answered(RenewAnswer answer) {
        long now = EventLoop.nowNanos();
        answered = true;
        renewTimer.record(now - askedAtNanos, TimeUnit.NANOSECONDS);
        if (leaving) {
            renewing = false;
            directory.dropLease();
            left.run();
            return;
        }
        if (!answer.getGranted()) {
            abandon();
            return;
        }
        addresses.members(answer.getControlAddressesList());
        applyWhenQuiet(answer, directory.beginFence(answer), now);
    }

    /**
     * Puts an answer in force; a fence waits a moment for statements at the primary, since their
     * answers do not count afterwards.
     */
    private void applyWhenQuiet(RenewAnswer answer, Set<GroupId> fenced, long sinceNanos) {
        long now = EventLoop.nowNanos();
        boolean wait =
                now - sinceNanos < FENCE_WAIT_NANOS
                        && fenced.stream().anyMatch(group -> awaitsPrimary(group, now));
        if (wait) {
            loop.vertx()
                    .setTimer(
                            FENCE_POLL_MILLIS, timer -> applyWhenQuiet(answer, fenced, sinceNanos));
            return;
        }
        apply(answer);
    }

    private boolean awaitsPrimary(GroupId group, long nowNanos) {
        return fenceParts.stream().anyMatch(part -> part.awaitsPrimary(group, nowNanos));
    }

    private void apply(RenewAnswer answer) {
        long now = EventLoop.nowNanos();
        renewing = false;
        long versionBefore = directory.configuration().version();
        directory.renewed(answer, askedAtNanos);
        parts.forEach(part -> part.answered(answer));
        boolean toAcknowledge = directory.configuration().version() != versionBefore;
        boolean soon = renewAgain || toAcknowledge;
        nextRenewNanos = soon ? now : now + settings.timing().renewMillis() * NANOS_PER_MILLI;
        if (soon) {
            tick();
        }
    }

    /**
     * Tells whether the owner of rates can be asked now.
     *
     * @return false while a request is under way or there is no connection
     */
    public boolean canAskRates() {
        return rateWaiter == null && connection != null;
    }

    /**
     * Asks the owner of rates for tokens; one request is under way at a time.
     *
     * @param request what is wanted
     * @param answered gets the answer; without grants when it was lost
     */
    public void askRates(RateRequest.Builder request, Consumer<RateAnswer> answered) {
        rateCorrelation++;
        rateAskedAtNanos = EventLoop.nowNanos();
        rateWaiter = answered;
        request.setProxyId(settings.id()).setIncarnation(incarnation);
        connection.send(
                Frame.newBuilder()
                        .setCorrelationId(rateCorrelation)
                        .setRateRequest(request)
                        .build());
    }

    private void endRateRequest(RateAnswer answer) {
        Consumer<RateAnswer> waiter = rateWaiter;
        rateWaiter = null;
        waiter.accept(answer);
    }

    @Override
    public void stop() {
        CountDownLatch done = new CountDownLatch(1);
        loop.run(
                () -> {
                    leaving = true;
                    left = done::countDown;
                    renewSoon();
                });
        try {
            done.await(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        client.close();
    }
}
