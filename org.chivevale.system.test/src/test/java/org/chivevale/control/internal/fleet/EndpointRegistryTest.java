package org.chivevale.control.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chivevale.control.ControlSettings;
import org.chivevale.control.SingleControl;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.EndpointPut;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a delayed announcement that registers an endpoint which has left or was replaced,
 * or that takes back a newer one: callers are then sent to an address where nothing, or another
 * endpoint, listens. Over a restart the process knows only its log, as a new leader does.
 */
class EndpointRegistryTest {
    private static final GroupId GROUP = new GroupId("orders", 0);
    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 5432);
    private static final long TIMEOUT_SECONDS = 30;

    @TempDir Path folder;
    private Kernel kernel;
    private EndpointRegistry registry;

    /** What happens between the end of an endpoint and its delayed announcement. */
    enum Meanwhile {
        NOTHING(1000),
        RESTART_FROM_ENTRIES(1000),
        RESTART_FROM_SNAPSHOT(1);

        final int snapshotEvery;

        Meanwhile(int snapshotEvery) {
            this.snapshotEvery = snapshotEvery;
        }
    }

    private void start(Meanwhile meanwhile) throws Exception {
        startControl(meanwhile);
        addDatabase(GROUP);
    }

    private void addDatabase(GroupId group) throws Exception {
        Change database =
                Change.newBuilder()
                        .setDatabasePut(
                                DatabasePut.newBuilder()
                                        .setDatabase(group.database())
                                        .setSlots(1)
                                        .setEndpointsPerGroup(3))
                        .build();
        run(() -> log().propose("test", "", now -> List.of(database)));
    }

    private void startControl(Meanwhile meanwhile) {
        HostPort anyPort = new HostPort("127.0.0.1", 0);
        ControlSettings settings = SingleControl.settings(anyPort, folder, meanwhile.snapshotEvery);
        FleetService fleet = new FleetService(settings);
        kernel =
                new Kernel()
                        .register(EventLoop.NAME, new EventLoop())
                        .register(Metrics.NAME, new Metrics())
                        .register(LogService.NAME, new LogService(settings), EventLoop.NAME)
                        .register(FleetService.NAME, fleet, LogService.NAME, Metrics.NAME);
        kernel.start();
        registry = new EndpointRegistry(log(), fleet);
    }

    private void pass(Meanwhile meanwhile) {
        if (meanwhile != Meanwhile.NOTHING) {
            kernel.stop();
            startControl(meanwhile);
        }
    }

    @AfterEach
    void stop() {
        kernel.stop();
    }

    private LogService log() {
        return kernel.find(LogService.NAME, LogService.class);
    }

    private <T> void run(Supplier<Future<T>> action) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        kernel.find(EventLoop.NAME, EventLoop.class)
                .run(
                        () ->
                                action.get()
                                        .onSuccess(done::complete)
                                        .onFailure(done::completeExceptionally));
        done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static InstanceAnnouncement announcement(
            String endpoint, long incarnation, boolean leaving) {
        return announcement(endpoint, GROUP, incarnation, leaving);
    }

    private static InstanceAnnouncement announcement(
            String endpoint, GroupId group, long incarnation, boolean leaving) {
        return new InstanceAnnouncement(
                new EndpointId(endpoint),
                group,
                ADDRESS,
                "region",
                "data-centre",
                incarnation,
                false,
                0,
                "",
                21,
                leaving,
                true);
    }

    private void announce(String endpoint, long incarnation, long sequence) throws Exception {
        run(() -> registry.announce(announcement(endpoint, incarnation, false), sequence));
    }

    private void announceLeaving(String endpoint, long incarnation, long sequence)
            throws Exception {
        run(() -> registry.announce(announcement(endpoint, incarnation, true), sequence));
    }

    private void deregister(String endpoint) throws Exception {
        deregister(endpoint, EndpointRegistry.ANY_INCARNATION);
    }

    private void deregister(String endpoint, long incarnation) throws Exception {
        run(() -> registry.deregister(new EndpointId(endpoint), incarnation));
    }

    /** Lists the registered endpoints with their incarnations; checks the live ones against it. */
    private List<String> registered() {
        List<String> live = new ArrayList<>();
        List<String> stored = new ArrayList<>();
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        loop.runAndWait(
                () -> {
                    for (EndpointPut put : log().state().configuration().endpoints()) {
                        stored.add(
                                put.getEndpointId()
                                        + "/"
                                        + put.getIncarnation()
                                        + (put.getLeaving() ? " leaving" : ""));
                    }
                    FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
                    for (InstanceAnnouncement one : fleet.membership().instances(GROUP)) {
                        live.add(
                                one.endpoint()
                                        + "/"
                                        + one.incarnation()
                                        + (one.shuttingDown() ? " leaving" : ""));
                    }
                });
        assertEquals(stored, live);
        return stored;
    }

    @ParameterizedTest
    @EnumSource
    void anEndpointThatHasLeftIsNotRegisteredAgain(Meanwhile meanwhile) throws Exception {
        start(meanwhile);
        announce("e-1", 50, 1);
        deregister("e-1");
        pass(meanwhile);

        announce("e-1", 50, 2);
        announce("e-1", 49, 900);
        assertEquals(List.of(), registered());

        announce("e-1", 51, 1);
        assertEquals(List.of("e-1/51"), registered());
    }

    /** The deregistration may arrive late, after the endpoint has started again under its id. */
    @ParameterizedTest
    @EnumSource
    void aLateDeregistrationDoesNotRemoveAnEndpointThatHasStartedAgain(Meanwhile meanwhile)
            throws Exception {
        start(meanwhile);
        announce("e-1", 50, 1);
        announce("e-1", 60, 1);
        pass(meanwhile);

        deregister("e-1", 50);
        announce("e-1", 60, 2);
        assertEquals(List.of("e-1/60"), registered());

        deregister("e-1", 60);
        assertEquals(List.of(), registered());
    }

    @ParameterizedTest
    @EnumSource
    void anEndpointThatWasReplacedAtItsAddressStaysReplaced(Meanwhile meanwhile) throws Exception {
        start(meanwhile);
        announce("e-1", 50, 1);
        announce("e-2", 60, 1);
        deregister("e-2");
        pass(meanwhile);

        announce("e-1", 50, 2);
        announce("e-2", 60, 2);
        assertEquals(List.of(), registered());
    }

    @ParameterizedTest
    @EnumSource
    void anEarlierIncarnationDoesNotReplaceALaterOne(Meanwhile meanwhile) throws Exception {
        start(meanwhile);
        announce("e-1", 50, 1);
        announce("e-1", 60, 1);
        pass(meanwhile);

        announce("e-1", 50, 7);
        assertEquals(List.of("e-1/60"), registered());

        deregister("e-1");
        pass(meanwhile);
        announce("e-1", 50, 8);
        assertEquals(List.of(), registered());
    }

    @ParameterizedTest
    @EnumSource
    void anOlderAnnouncementDoesNotTakeBackALaterOne(Meanwhile meanwhile) throws Exception {
        start(meanwhile);
        announce("e-1", 50, 1);
        announceLeaving("e-1", 50, 3);
        pass(meanwhile);

        announce("e-1", 50, 2);
        assertEquals(List.of("e-1/50 leaving"), registered());

        announce("e-1", 50, 4);
        assertEquals(List.of("e-1/50"), registered());
    }

    @ParameterizedTest
    @EnumSource
    void anAnnouncementFromBeforeAnEvacuationDoesNotMakeAnEndpointWarm(Meanwhile meanwhile)
            throws Exception {
        start(meanwhile);
        announce("e-1", 50, 5);
        run(
                () ->
                        log().propose(
                                        "test",
                                        "",
                                        now ->
                                                now.endpoints().stream()
                                                        .map(EndpointRegistryTest::cold)
                                                        .toList()));
        pass(meanwhile);

        announce("e-1", 50, 5);
        assertEquals(List.of(true), coldEndpoints());
        announce("e-1", 50, 6);
        assertEquals(List.of(false), coldEndpoints());
    }

    private static Change cold(EndpointPut put) {
        return Change.newBuilder().setEndpointPut(put.toBuilder().setCold(true)).build();
    }

    private List<Boolean> coldEndpoints() {
        List<Boolean> cold = new ArrayList<>();
        kernel.find(EventLoop.NAME, EventLoop.class)
                .runAndWait(
                        () ->
                                log().state().configuration().endpoints().stream()
                                        .map(EndpointPut::getCold)
                                        .forEach(cold::add));
        return cold;
    }

    /** A mark that stays would let a failover pass over writes that only this replica holds. */
    @ParameterizedTest
    @EnumSource
    void anAnnouncementEndsTheMarkOfALostReplica(Meanwhile meanwhile) throws Exception {
        start(meanwhile);
        announce("e-1", 50, 1);
        run(
                () ->
                        log().propose(
                                        "test",
                                        "",
                                        now ->
                                                now.endpoints(GROUP).stream()
                                                        .map(EndpointRegistryTest::lost)
                                                        .toList()));
        pass(meanwhile);
        announce("e-1", 50, 2);
        EndpointPut registered =
                log().state().configuration().endpoint(GROUP, new EndpointId("e-1"));
        assertFalse(registered.getLost());
        assertEquals(List.of("e-1/50"), registered());
    }

    private static Change lost(EndpointPut put) {
        return Change.newBuilder().setEndpointPut(put.toBuilder().setLost(true)).build();
    }

    /** Otherwise proxies send reads to an endpoint of another database until the entry expires. */
    @Test
    void anEndpointWhoseAddressAnotherDatabaseUsesIsRemovedAtOnce() throws Exception {
        start(Meanwhile.NOTHING);
        announce("e-1", 50, 1);
        GroupId other = new GroupId("stock", 0);
        addDatabase(other);
        run(() -> registry.announce(announcement("e-9", other, 60, false), 1));
        kernel.find(EventLoop.NAME, EventLoop.class)
                .runAndWait(
                        () -> {
                            FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
                            assertEquals(List.of(), fleet.membership().instances(GROUP));
                            assertEquals(1, fleet.membership().instances(other).size());
                        });
    }

    @Test
    void anAnnouncementThatArrivesWhileARemovalIsQueuedChangesNothing() throws Exception {
        start(Meanwhile.NOTHING);
        announce("e-1", 50, 1);
        List<Future<Void>> queued = new ArrayList<>();
        // Listeners run during an append, so what they propose is queued behind it.
        kernel.find(EventLoop.NAME, EventLoop.class)
                .runAndWait(() -> log().state().addListener(() -> queueRemoval(queued)));
        announce("e-2", 40, 1);
        assertEquals(List.of("e-1/50"), registered());

        announceLeaving("e-1", 50, 2);
        assertEquals(2, queued.size());
        assertEquals(List.of(), registered());
    }

    private void queueRemoval(List<Future<Void>> queued) {
        if (queued.isEmpty()) {
            queued.add(null);
            queued.set(
                    0,
                    registry.deregister(new EndpointId("e-1"), EndpointRegistry.ANY_INCARNATION));
            queued.add(registry.announce(announcement("e-1", 50, false), 3));
        }
    }
}
