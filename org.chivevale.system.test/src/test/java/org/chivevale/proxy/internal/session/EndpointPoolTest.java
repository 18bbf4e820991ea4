package org.chivevale.proxy.internal.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.AdmissionRequest;
import org.chivevale.core.admission.Rejection;
import org.chivevale.core.admission.Ticket;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.SessionConnection;
import org.chivevale.process.EventLoop;
import org.junit.jupiter.api.Test;

/** Guards against waiters that are served out of order, twice, or after they have left. */
class EndpointPoolTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final ClientAccountId SMALL = new ClientAccountId("small");
    private static final ClientAccountId LARGE = new ClientAccountId("large");

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final List<String> served = new ArrayList<>();
    private final List<PooledConnection> connections = new ArrayList<>();
    private int opened;
    private final EndpointPool pool =
            new EndpointPool(
                    new MemberTarget(
                            new EndpointId("endpoint"),
                            new GroupId("orders", 0),
                            new HostPort("127.0.0.1", 1)),
                    (target, account, ended) -> {
                        opened++;
                        return new Connection(ended);
                    },
                    () -> {},
                    new ConnectionMeters(registry),
                    new AdmissionMetrics(registry));

    /** A connection that tells its owner at once when it is closed. */
    private static final class Connection implements SessionConnection {
        private final Runnable ended;
        private boolean isClosed;

        Connection(Runnable ended) {
            this.ended = ended;
        }

        @Override
        public void execute(
                String id, Statement statement, TermPosition since, Consumer<EndpointReply> done) {}

        @Override
        public boolean usable() {
            return !isClosed;
        }

        @Override
        public void close() {
            if (!isClosed) {
                isClosed = true;
                ended.run();
            }
        }
    }

    private static AdmissionRequest request(int priority, ClientAccountId account) {
        return new AdmissionRequest(priority, account, EventLoop.nowNanos() + 60 * SECOND_NANOS);
    }

    private Ticket<EndpointPool.Waiter> acquire(String name, AdmissionRequest request) {
        return pool.acquire(
                new PoolRequest(request, AllowedRegions.ANY),
                connection -> {
                    served.add(connection == null ? name + " rejected" : name);
                    connections.add(connection);
                });
    }

    private void releaseNext() {
        PooledConnection connection = connections.remove(0);
        pool.release(connection, true);
    }

    @Test
    void requestsOfOneAccountAndClassAreServedInOrderOnOneConnection() {
        pool.setShare(1);
        for (int i = 0; i < 4; i++) {
            acquire("" + i, request(0, SMALL));
        }
        for (int i = 0; i < 4; i++) {
            releaseNext();
        }
        assertEquals(List.of("0", "1", "2", "3"), served);
        assertEquals(1, opened);
    }

    @Test
    void anUrgentRequestGoesFirstAlsoWhereAnotherAccountsConnectionIsClosedForIt() {
        pool.setShare(1);
        acquire("running", request(2, LARGE));
        acquire("less urgent", request(2, LARGE));
        acquire("urgent", request(0, SMALL));
        releaseNext();
        assertEquals(List.of("running", "urgent"), served);
        releaseNext();
        assertEquals(List.of("running", "urgent", "less urgent"), served);
        assertEquals(3, opened);
    }

    /** An endpoint that does not answer a rollback must not keep the connection for ever. */
    @Test
    void aRollbackWithoutAReplyGivesItsConnectionUp() throws InterruptedException {
        pool.setShare(1);
        acquire("transaction", request(0, SMALL));
        acquire("waits", request(0, LARGE));
        connections.remove(0).rollBackAndRelease(false);
        long endNanos = EventLoop.nowNanos() + 30 * SECOND_NANOS;
        while (served.size() < 2 && EventLoop.nowNanos() - endNanos < 0) {
            Thread.sleep(20);
            pool.tick();
        }
        assertEquals(List.of("transaction", "waits"), served);
        assertEquals(2, opened);
    }

    @Test
    void aRequestThatHasLeftOrWhoseTimeHasPassedGetsNoConnection() {
        pool.setShare(1);
        acquire("running", request(0, SMALL));
        Ticket<EndpointPool.Waiter> left = acquire("left", request(0, SMALL));
        assertNotNull(left);
        acquire("late", new AdmissionRequest(0, SMALL, EventLoop.nowNanos() - 1));
        acquire("waits", request(0, SMALL));
        pool.cancel(left);
        pool.tick();
        assertEquals(List.of("running", "late rejected"), served);
        connections.remove(1);
        releaseNext();
        assertEquals(List.of("running", "late rejected", "waits"), served);
        assertEquals(1, rejections("EXPIRED"));
    }

    @Test
    void aRequestIsRejectedForItsExpectedWaitOnlyWhileNothingIsFree() {
        pool.setShare(1);
        AdmissionRequest hurried =
                new AdmissionRequest(1, SMALL, EventLoop.nowNanos() + SECOND_NANOS / 10);
        assertNull(pool.rejectionFor(hurried));
        acquire("running", request(0, LARGE));
        for (int i = 0; i < 50; i++) {
            acquire("waits", request(0, LARGE));
        }
        Rejection rejection = pool.rejectionFor(hurried);
        assertEquals(Rejection.Reason.WAIT_TOO_LONG, rejection.reason());
        assertNull(pool.rejectionFor(request(1, SMALL)));
        pool.recordRejection(hurried, rejection);
        assertEquals(1, rejections("WAIT_TOO_LONG"));
    }

    /** More connections than slots: the order would otherwise be that of refused attempts. */
    @Test
    void aRequestWaitsWhileTheEndpointHasNoFreeSlot() {
        pool.setShare(10);
        long now = EventLoop.nowNanos();
        for (int i = 0; i < 3; i++) {
            acquire("" + i, request(1, SMALL));
            pool.health().recordSent(now);
        }
        pool.health().recordEnded();
        pool.recordReply(EndpointReply.withoutResponse(Reply.BUSY, "no slot"), now);
        releaseNext();
        acquire("less urgent", request(2, SMALL));
        acquire("urgent", request(0, LARGE));
        assertEquals(List.of("0", "1", "2"), served);
        assertFalse(pool.hasFreeConnection());
        pool.health().recordEnded();
        releaseNext();
        assertEquals("urgent", served.get(3));
    }

    @Test
    void aClosedPoolTellsAllWaitersOnce() {
        pool.setShare(1);
        acquire("running", request(0, SMALL));
        acquire("a", request(0, SMALL));
        acquire("b", request(1, LARGE));
        assertEquals(2, pool.waitingByPriority().size());
        pool.close();
        pool.close();
        assertEquals(List.of("running", "a rejected", "b rejected"), served);
        assertTrue(pool.waitingByPriority().isEmpty());
    }

    private double rejections(String reason) {
        return registry.counter("chivevale.proxy.session.queue.rejected", "reason", reason).count();
    }
}
