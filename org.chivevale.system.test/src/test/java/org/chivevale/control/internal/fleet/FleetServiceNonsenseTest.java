package org.chivevale.control.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chivevale.control.ControlSettings;
import org.chivevale.control.SingleControl;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.failover.AcknowledgedWrites;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.FreePorts;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.wire.FrameClient;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.proto.AcknowledgedPosition;
import org.chivevale.wire.proto.ConnectionDemand;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.RateRequest;
import org.chivevale.wire.proto.RateWant;
import org.chivevale.wire.proto.RenewRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests of proxies that can be decoded but make no sense: each must be answered,
 * or the sender waits for its timeout, and must not keep others from getting their lease.
 */
class FleetServiceNonsenseTest {
    private static final long TIMEOUT_SECONDS = 10;

    @TempDir Path folder;
    private final BlockingQueue<Frame> received = new LinkedBlockingQueue<>();

    private static RenewRequest.Builder renewal(String proxy) {
        return RenewRequest.newBuilder().setProxyId(proxy).setIncarnation(1).setSequence(1);
    }

    private static List<Frame.Builder> nonsense() {
        return List.of(
                Frame.newBuilder(),
                Frame.newBuilder().setRenewRequest(RenewRequest.newBuilder()),
                Frame.newBuilder()
                        .setRenewRequest(renewal("x").addHealthReports(HealthReport.newBuilder())),
                Frame.newBuilder()
                        .setRenewRequest(
                                renewal("y")
                                        .addConnectionDemands(
                                                ConnectionDemand.newBuilder()
                                                        .setGroupId("orders.-1")
                                                        .setWanted(-1))),
                Frame.newBuilder()
                        .setRateRequest(
                                RateRequest.newBuilder()
                                        .addWants(RateWant.newBuilder().setWanted(-1))));
    }

    @Test
    void everyRequestIsAnsweredAndOthersAreServed() throws Exception {
        HostPort wire = FreePorts.next();
        ControlSettings settings = SingleControl.settings(wire, folder, 1000);
        Kernel kernel =
                new Kernel()
                        .register(EventLoop.NAME, new EventLoop())
                        .register(Metrics.NAME, new Metrics())
                        .register(LogService.NAME, new LogService(settings), EventLoop.NAME)
                        .register(
                                FleetService.NAME,
                                new FleetService(settings),
                                LogService.NAME,
                                Metrics.NAME);
        kernel.start();
        try (FrameClient client = new FrameClient(1000)) {
            FrameConnection connection = connect(client, wire);
            connection.send(
                    Frame.newBuilder()
                            .setRaftMessage(RaftMessage.newBuilder().setFrom("x"))
                            .build());
            long id = 0;
            for (Frame.Builder request : nonsense()) {
                Frame answer = call(connection, request.setCorrelationId(++id));
                assertTrue(answer.hasErrorAnswer(), answer.toString());
            }
            Frame answer =
                    call(
                            connection,
                            Frame.newBuilder()
                                    .setCorrelationId(++id)
                                    .setRenewRequest(renewal("proxy-1")));
            assertTrue(answer.getRenewAnswer().getGranted(), answer.toString());
            assertReportIsKept(kernel, connection, ++id);
        } finally {
            kernel.stop();
        }
    }

    /** What a proxy has acknowledged must be known once its renewal is answered. */
    private void assertReportIsKept(Kernel kernel, FrameConnection connection, long id)
            throws InterruptedException {
        AcknowledgedPosition.Builder reported =
                AcknowledgedPosition.newBuilder().setGroupId("orders.0").setTerm(2).setNumber(7);
        RenewRequest.Builder renewal =
                renewal("proxy-1").setSequence(2).addAcknowledgedPositions(reported);
        call(connection, Frame.newBuilder().setCorrelationId(id).setRenewRequest(renewal));
        FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
        kernel.find(EventLoop.NAME, EventLoop.class)
                .runAndWait(
                        () -> {
                            AcknowledgedWrites known =
                                    fleet.acknowledgedWrites(new GroupId("orders", 0));
                            assertEquals(7, known.highest(2));
                            assertEquals(0, known.highest(3));
                        });
    }

    private FrameConnection connect(FrameClient client, HostPort address) throws Exception {
        CompletableFuture<FrameConnection> opened = new CompletableFuture<>();
        client.connect(address.host(), address.port(), new Recorder(), opened::complete);
        return opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends a request and waits for its answer; passes over pushed changes. */
    private Frame call(FrameConnection connection, Frame.Builder request)
            throws InterruptedException {
        connection.send(request.build());
        Frame answer;
        do {
            answer = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(answer, "no answer to " + request);
        } while (answer.hasChangePush());
        assertEquals(request.getCorrelationId(), answer.getCorrelationId());
        return answer;
    }

    private final class Recorder implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            received.add(frame);
        }
    }
}
