package org.chivevale.proxy.internal.session;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts the connections to endpoints that are opened, reused and closed.
 *
 * <p>Used on the event loop.
 */
final class ConnectionMeters {
    /** Why this proxy gave up a connection. */
    enum Reason {
        /** Another client account needed it. */
        OTHER_ACCOUNT,
        /** The share was reduced. */
        SHARE,
        /** A statement on it failed in a way that makes its state unknown. */
        FAILED,
        /** It was idle while another one of the endpoint stopped answering. */
        SUSPECT,
        /** The endpoint has left or the process stops. */
        POOL_CLOSED,
        /** The endpoint closed it, or the connection attempt failed. */
        BY_ENDPOINT
    }

    private final Counter opened;
    private final Counter reused;
    private final Map<Reason, Counter> closed = new EnumMap<>(Reason.class);

    ConnectionMeters(MeterRegistry registry) {
        opened = registry.counter("chivevale.proxy.connections.opened");
        reused = registry.counter("chivevale.proxy.connections.reused");
        for (Reason reason : Reason.values()) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            closed.put(
                    reason, registry.counter("chivevale.proxy.connections.closed", "reason", name));
        }
    }

    void recordOpened() {
        opened.increment();
    }

    void recordReused() {
        reused.increment();
    }

    void recordClosed(Reason reason) {
        closed.get(reason).increment();
    }
}
