package org.chivevale.proxy.internal.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.process.EventLoop;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that get a connection to an address where the instance no longer is:
 * another endpoint may listen there.
 */
class InstancePoolTest {
    private static final HostPort OLD = new HostPort("127.0.0.1", 1);
    private static final HostPort NEW = new HostPort("127.0.0.1", 2);
    private static final ClientAccountId ACCOUNT = new ClientAccountId("workshop");

    private final List<Opening> openings = new ArrayList<>();
    private final InstancePool pool =
            new InstancePool(
                    new InstanceKey(new EndpointId("e-1"), new GroupId("orders", 0)),
                    OLD,
                    (host, port, group, onClose) -> open(new HostPort(host, port)),
                    10,
                    () -> {});

    /** A connection that the pool opens; the test says when the attempt ends. */
    private static final class Opening {
        final HostPort address;
        final Promise<DatabaseConnection> result = Promise.promise();
        final DatabaseConnection connection;
        boolean isClosed;

        Opening(HostPort address) {
            this.address = address;
            connection =
                    (DatabaseConnection)
                            Proxy.newProxyInstance(
                                    DatabaseConnection.class.getClassLoader(),
                                    new Class<?>[] {DatabaseConnection.class},
                                    (self, method, arguments) -> call(self, method, arguments));
        }

        private Object call(Object self, Method method, Object[] arguments) {
            return switch (method.getName()) {
                case "usable" -> !isClosed;
                case "equals" -> self == arguments[0];
                case "hashCode" -> System.identityHashCode(self);
                case "close" -> {
                    isClosed = true;
                    yield null;
                }
                default -> null;
            };
        }
    }

    private Future<DatabaseConnection> open(HostPort address) {
        Opening opening = new Opening(address);
        openings.add(opening);
        return opening.result.future();
    }

    private Future<DatabaseConnection> acquire() {
        return pool.acquire(ACCOUNT, EventLoop.nowNanos() + TimeUnit.MINUTES.toNanos(1));
    }

    private Opening complete(int index) {
        Opening opening = openings.get(index);
        opening.result.complete(opening.connection);
        return opening;
    }

    @Test
    void aConnectionInUseIsClosedWhenItsAddressChangedMeanwhile() {
        pool.setShare(1);
        Future<DatabaseConnection> first = acquire();
        Opening old = complete(0);
        Future<DatabaseConnection> waiting = acquire();

        pool.setAddress(NEW);
        assertFalse(old.isClosed, "a connection in use stays open until its release");
        pool.release(first.result());

        assertTrue(old.isClosed);
        assertEquals(NEW, openings.get(1).address);
        assertEquals(complete(1).connection, waiting.result());
        assertEquals(1, pool.limitInForce());
    }

    @Test
    void aConnectionThatIsBeingOpenedToAnEarlierAddressServesNoRequest() {
        pool.setShare(1);
        Future<DatabaseConnection> waiting = acquire();
        pool.setAddress(NEW);
        assertTrue(complete(0).isClosed);
        assertEquals(NEW, openings.get(1).address);
        assertEquals(complete(1).connection, waiting.result());
    }

    @Test
    void aFailureToReachAnEarlierAddressFailsNoRequest() {
        pool.setShare(1);
        Future<DatabaseConnection> waiting = acquire();
        pool.setAddress(NEW);
        openings.get(0).result.fail("refused");
        assertFalse(waiting.isComplete());
        assertEquals(complete(1).connection, waiting.result());
    }

    @Test
    void connectionsToTheAddressStayInUseWhenItIsSetAgain() {
        pool.setShare(1);
        Future<DatabaseConnection> first = acquire();
        Opening opening = complete(0);
        pool.setAddress(OLD);
        pool.release(first.result());
        assertFalse(opening.isClosed);
        assertEquals(opening.connection, acquire().result());
        assertEquals(1, openings.size());
    }
}
