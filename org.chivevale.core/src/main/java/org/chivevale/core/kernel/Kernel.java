package org.chivevale.core.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jboss.logging.Logger;

/**
 * Micro-kernel: starts named services after those they need, finds them by name, and stops them in
 * the opposite order.
 *
 * <p>Invariant: a service runs only while all that it needs run. Registration, start and stop
 * belong to one thread; {@link #find} may be called from any thread after the start.
 */
public final class Kernel {
    private static final Logger LOG = Logger.getLogger(Kernel.class);

    private final Map<String, Registration> registrations = new LinkedHashMap<>();
    private final Deque<Registration> started = new ArrayDeque<>();
    private boolean stopped;

    private record Registration(String name, Service service, List<String> needs) {}

    /**
     * Adds a service.
     *
     * @param name unique name
     * @param service the service
     * @param needs names of the services that must run before it
     * @return this kernel
     */
    public Kernel register(String name, Service service, String... needs) {
        if (registrations.put(name, new Registration(name, service, List.of(needs))) != null) {
            throw new IllegalArgumentException("service '" + name + "' is registered twice");
        }
        return this;
    }

    /** Starts all services; when one fails, those already started are stopped. */
    public void start() {
        try {
            for (Registration registration : registrations.values()) {
                start(registration, new HashSet<>());
            }
        } catch (RuntimeException e) {
            stop();
            throw e;
        }
    }

    private void start(Registration registration, Set<String> path) {
        if (started.contains(registration)) {
            return;
        }
        if (!path.add(registration.name())) {
            throw new IllegalStateException("services need each other: " + path);
        }
        for (String need : registration.needs()) {
            Registration needed = registrations.get(need);
            if (needed == null) {
                throw new IllegalStateException(
                        "service '" + registration.name() + "' needs unknown '" + need + "'");
            }
            start(needed, path);
        }
        registration.service().start(this);
        started.push(registration);
        path.remove(registration.name());
    }

    /**
     * Finds a running or starting service.
     *
     * @param name its name
     * @param type its class
     * @param <T> its class
     * @return the service
     */
    public <T> T find(String name, Class<T> type) {
        Registration registration = registrations.get(name);
        if (registration == null) {
            throw new IllegalStateException("no service '" + name + "'");
        }
        return type.cast(registration.service());
    }

    /** Drains and stops all services, the last started first. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        for (Registration registration : started) {
            run(registration, registration.service()::drain);
        }
        for (Registration registration : started) {
            run(registration, registration.service()::stop);
        }
    }

    private static void run(Registration registration, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.warnf("service %s did not end well: %s", registration.name(), e);
        }
    }
}
