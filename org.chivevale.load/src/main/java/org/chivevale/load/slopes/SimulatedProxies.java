package org.chivevale.load.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.FrameClient;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.proto.ConnectionDemand;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;

/**
 * Simulates proxies that only renew their leases.
 *
 * <p>The counters include the length prefix of each frame. Thread safe.
 */
final class SimulatedProxies implements AutoCloseable {
    private static final int RENEW_MILLIS = 700;
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final AtomicLong renewals = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicLong bytesIn = new AtomicLong();

    /** One simulated proxy, with a connection of its own. */
    private final class SimulatedProxy implements FrameListener {
        private final String id;
        private final int groups;
        private FrameConnection connection;
        private long sequence;
        private volatile long configVersion;
        private volatile long membersVersion;

        SimulatedProxy(int index, int groups) {
            this.id = "fake-" + index;
            this.groups = groups;
        }

        synchronized void renew() {
            sequence++;
            RenewRequest.Builder request =
                    RenewRequest.newBuilder()
                            .setProxyId(id)
                            .setIncarnation(1)
                            .setSequence(sequence)
                            .setRegion("muscat")
                            .setDataCenter("muscat-1")
                            .setForwardHost("127.0.0.1")
                            .setForwardPort(1)
                            .setConfigVersion(configVersion)
                            .setMembersVersion(membersVersion);
            for (int i = 0; i < groups; i++) {
                String group = "slopes." + i;
                request.addHealthReports(
                        HealthReport.newBuilder()
                                .setGroupId(group)
                                .setEndpointId("slopes-1")
                                .setTerm(1));
                request.addConnectionDemands(
                        ConnectionDemand.newBuilder()
                                .setGroupId(group)
                                .setEndpointId("slopes-1")
                                .setWanted(2)
                                .setLimitInForce(1));
            }
            Frame frame =
                    Frame.newBuilder().setCorrelationId(sequence).setRenewRequest(request).build();
            bytesOut.addAndGet(Integer.BYTES + frame.getSerializedSize());
            connection.send(frame);
        }

        @Override
        public void received(FrameConnection from, Frame frame) {
            bytesIn.addAndGet(Integer.BYTES + frame.getSerializedSize());
            if (frame.hasRenewAnswer()) {
                renewals.incrementAndGet();
                RenewAnswer answer = frame.getRenewAnswer();
                configVersion = answer.getConfigVersion();
                membersVersion = answer.getMembersVersion();
            } else if (frame.hasChangePush()
                    && frame.getChangePush().getConfigVersion() > configVersion) {
                renew();
            }
        }
    }

    SimulatedProxies(HostPort control, int count, int groups) {
        CountDownLatch connected = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            SimulatedProxy proxy = new SimulatedProxy(i, groups);
            proxies.add(proxy);
            client.connect(
                    control.host(),
                    control.port(),
                    proxy,
                    connection -> {
                        proxy.connection = connection;
                        connected.countDown();
                    });
        }
        try {
            connected.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (int i = 0; i < count; i++) {
            long offsetMillis = (long) RENEW_MILLIS * i / count;
            timer.scheduleAtFixedRate(
                    proxies.get(i)::renew, offsetMillis, RENEW_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    long renewals() {
        return renewals.get();
    }

    long bytesOut() {
        return bytesOut.get();
    }

    long bytesIn() {
        return bytesIn.get();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        client.close();
    }
}
