package org.chivevale.proxy.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.FrameServer;
import org.chivevale.wire.proto.AccountPut;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.ConfigurationSnapshot;
import org.chivevale.wire.proto.ConnectionShare;
import org.chivevale.wire.proto.ErrorAnswer;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.GroupState;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RenewAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a proxy that never renews its lease again, or takes a configuration for whole that
 * it could not apply, after an answer of control that makes no sense.
 */
class ControlLinkTest {
    private static final String HOST = "127.0.0.1";
    private static final long MAX_WAIT_SECONDS = 10;
    private static final AccountPut OTHER_ACCOUNT =
            AccountPut.newBuilder().setAccountId("other").build();

    @TempDir Path folder;
    private final Queue<Frame.Builder> answers = new ArrayDeque<>();
    private final CountDownLatch answered = new CountDownLatch(1);

    /** Answers renewals: with each of the prepared answers once, then with a valid one. */
    private final class FakeControl implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            Frame.Builder answer = answers.poll();
            long known = frame.getRenewRequest().getConfigVersion();
            if (answer == null) {
                answer = renewal(valid(known));
                answered.countDown();
            }
            connection.send(answer.setCorrelationId(frame.getCorrelationId()).build());
        }
    }

    private static RenewAnswer.Builder valid(long knownVersion) {
        RenewAnswer.Builder answer = granted().setConfigVersion(3);
        return knownVersion == 3
                ? answer
                : answer.setSnapshot(
                        ConfigurationSnapshot.newBuilder().setVersion(3).addChanges(account()));
    }

    private static Change.Builder account() {
        return Change.newBuilder().setAccountPut(AccountPut.newBuilder().setAccountId("bakery"));
    }

    private static RenewAnswer.Builder granted() {
        return RenewAnswer.newBuilder().setGranted(true).setLeaseMillis(60_000);
    }

    private static Frame.Builder renewal(RenewAnswer.Builder answer) {
        return Frame.newBuilder().setRenewAnswer(answer);
    }

    private static RenewAnswer.Builder entry(Change.Builder change) {
        return granted()
                .setConfigVersion(1)
                .addEntries(LogEntry.newBuilder().setVersion(1).addChanges(change));
    }

    private static List<Frame.Builder> nonsense() {
        Change.Builder fence =
                Change.newBuilder().setGroupState(GroupState.newBuilder().setGroupId("x"));
        return List.of(
                Frame.newBuilder(),
                Frame.newBuilder().setErrorAnswer(ErrorAnswer.newBuilder().setMessage("x")),
                renewal(entry(fence)),
                renewal(entry(Change.newBuilder())),
                renewal(
                        granted()
                                .setConfigVersion(7)
                                .addEntries(LogEntry.newBuilder().setVersion(7))),
                renewal(granted().addControlAddresses("x")),
                renewal(granted().addConnectionShares(ConnectionShare.newBuilder().setLimit(-1))),
                renewal(
                        granted()
                                .setConfigVersion(3)
                                .setSnapshot(
                                        ConfigurationSnapshot.newBuilder()
                                                .setVersion(3)
                                                .addChanges(Change.newBuilder()))));
    }

    @Test
    void nonsenseInAnAnswerDoesNotEndTheRenewals() throws Exception {
        answers.addAll(nonsense());
        try (FrameServer control = new FrameServer(HOST, 0, new FakeControl())) {
            ProxySettings settings = settings(control);
            Directory directory = new Directory(settings);
            Kernel kernel = kernel(new ControlLink(settings, directory, MemberScope.ENDPOINTS));
            kernel.start();
            try {
                assertTrue(answered.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS), "renewals ended");
                awaitConfiguration(kernel, directory);
            } finally {
                kernel.stop();
            }
        }
    }

    /** Answers with a fence and closes the connection; the next renewal gets newer entries. */
    private static final class ReconnectingControl implements FrameListener {
        private static final long ANSWER_DELAY_MILLIS = 300;

        private final AtomicInteger renewals = new AtomicInteger();
        private volatile FrameConnection fencing;

        /** The version in force at the proxy when it sent the renewal that overtakes the fence. */
        private volatile long versionWhenOvertaken;

        @Override
        public void received(FrameConnection connection, Frame frame) {
            long id = frame.getCorrelationId();
            long known = frame.getRenewRequest().getConfigVersion();
            int number = renewals.incrementAndGet();
            if (number == 1) {
                connection.send(renewal(valid(0)).setCorrelationId(id).build());
            } else if (number == 2) {
                fencing = connection;
                connection.send(renewal(fencesAfter(known, 4)).setCorrelationId(id).build());
            } else if (number == 3) {
                versionWhenOvertaken = known;
                CompletableFuture.delayedExecutor(ANSWER_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                        .execute(
                                () ->
                                        connection.send(
                                                renewal(fencesAfter(known, 5))
                                                        .setCorrelationId(id)
                                                        .build()));
            } else {
                connection.send(renewal(fencesAfter(known, 5)).setCorrelationId(id).build());
            }
        }

        /** Closes the connection of the fence; returns true until the renewal after it came. */
        boolean closeUntilOvertaken() {
            fencing.close();
            return renewals.get() < 3;
        }

        /** Returns entries that fence a group. */
        private static RenewAnswer.Builder fencesAfter(long known, long last) {
            RenewAnswer.Builder answer = granted().setConfigVersion(last);
            GroupState.Builder fence = GroupState.newBuilder().setGroupId("db1.0").setTerm(2);
            for (long version = known + 1; version <= last; version++) {
                answer.addEntries(
                        LogEntry.newBuilder()
                                .setVersion(version)
                                .addChanges(Change.newBuilder().setGroupState(fence)));
            }
            return answer;
        }
    }

    @Test
    void anAnswerThatANewerRenewalHasOvertakenIsNotApplied() throws Exception {
        ReconnectingControl fake = new ReconnectingControl();
        try (FrameServer control = new FrameServer(HOST, 0, fake)) {
            ProxySettings settings = settings(control);
            Directory directory = new Directory(settings);
            ControlLink link = new ControlLink(settings, directory, MemberScope.ENDPOINTS);
            List<Long> versions = new CopyOnWriteArrayList<>();
            directory.addListener(() -> versions.add(directory.configuration().version()));
            link.addFenceParticipant((group, now) -> fake.closeUntilOvertaken());
            Kernel kernel = kernel(link);
            kernel.start();
            try {
                awaitTrue(() -> versions.contains(5L), "version 5 is not in force");
                // The fence may have ended by itself before the proxy saw the lost connection.
                boolean isInForceBefore = fake.versionWhenOvertaken == 4;
                assertEquals(isInForceBefore ? List.of(3L, 4L, 5L) : List.of(3L, 5L), versions);
            } finally {
                kernel.stop();
            }
        }
    }

    /** Sends once an entry of which only the first change can be applied; has version 3 itself. */
    private static final class EntryFailingControl implements FrameListener {
        private final AtomicInteger renewalsOfVersion3 = new AtomicInteger();

        @Override
        public void received(FrameConnection connection, Frame frame) {
            long known = frame.getRenewRequest().getConfigVersion();
            boolean isFirst = known == 3 && renewalsOfVersion3.incrementAndGet() == 1;
            RenewAnswer.Builder answer = isFirst ? halfApplicable() : valid(known);
            connection.send(renewal(answer).setCorrelationId(frame.getCorrelationId()).build());
        }

        private static RenewAnswer.Builder halfApplicable() {
            LogEntry.Builder entry =
                    LogEntry.newBuilder()
                            .setVersion(4)
                            .addChanges(Change.newBuilder().setAccountPut(OTHER_ACCOUNT))
                            .addChanges(Change.newBuilder());
            return granted().setConfigVersion(4).addEntries(entry);
        }
    }

    @Test
    void anEntryThatFailsHalfWayLeavesNoneOfItsChanges() throws Exception {
        EntryFailingControl fake = new EntryFailingControl();
        try (FrameServer control = new FrameServer(HOST, 0, fake)) {
            ProxySettings settings = settings(control);
            Directory directory = new Directory(settings);
            Kernel kernel = kernel(new ControlLink(settings, directory, MemberScope.ENDPOINTS));
            kernel.start();
            try {
                awaitTrue(() -> fake.renewalsOfVersion3.get() > 2, "renewals ended");
                awaitConfiguration(kernel, directory);
            } finally {
                kernel.stop();
            }
        }
    }

    /** Holds back its answers after the first until it is told to give them. */
    private static final class HoldingControl implements FrameListener {
        private final AtomicInteger renewals = new AtomicInteger();
        private final CompletableFuture<Void> release = new CompletableFuture<>();
        private volatile boolean hasLeft;

        @Override
        public void received(FrameConnection connection, Frame frame) {
            hasLeft |= frame.getRenewRequest().getLeaving();
            Frame answer =
                    renewal(valid(frame.getRenewRequest().getConfigVersion()))
                            .setCorrelationId(frame.getCorrelationId())
                            .build();
            if (renewals.incrementAndGet() == 1) {
                connection.send(answer);
            } else {
                release.thenRun(() -> connection.send(answer));
            }
        }
    }

    @Test
    void aProxyThatStopsWhileARenewalIsInFlightGivesItsLeaseUp() throws Exception {
        HoldingControl fake = new HoldingControl();
        try (FrameServer control = new FrameServer(HOST, 0, fake)) {
            ProxySettings settings = settings(control);
            Directory directory = new Directory(settings);
            Kernel kernel = kernel(new ControlLink(settings, directory, MemberScope.ENDPOINTS));
            kernel.start();
            awaitTrue(() -> fake.renewals.get() == 2, "no renewal in flight");
            CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS)
                    .execute(() -> fake.release.complete(null));
            kernel.stop();
            assertTrue(fake.hasLeft, "the proxy has not told control that it leaves");
        }
    }

    private ProxySettings settings(FrameServer control) throws Exception {
        Path file = folder.resolve("proxy.toml");
        Files.writeString(
                file,
                """
                id = "proxy-1"
                region = "muscat"
                data_center = "muscat-a"
                http_api = false
                control = ["127.0.0.1:%d"]
                timing.renew_ms = 50
                """
                        .formatted(control.port()));
        return ProxySettings.read(file);
    }

    private static Kernel kernel(ControlLink link) {
        return new Kernel()
                .register(EventLoop.NAME, new EventLoop())
                .register(Metrics.NAME, new Metrics())
                .register(ControlLink.NAME, link, EventLoop.NAME, Metrics.NAME);
    }

    private static void awaitConfiguration(Kernel kernel, Directory directory)
            throws InterruptedException {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        boolean[] isWhole = new boolean[1];
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        while (!isWhole[0]) {
            loop.runAndWait(
                    () ->
                            isWhole[0] =
                                    directory.isLeased(EventLoop.nowNanos())
                                            && directory.configuration().version() == 3
                                            && directory.configuration().accounts().size() == 1);
            assertTrue(System.nanoTime() < endNanos, "no lease with the whole configuration");
            Thread.sleep(5);
        }
    }

    private static void awaitTrue(BooleanSupplier condition, String otherwise)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, otherwise);
            Thread.sleep(5);
        }
    }
}
