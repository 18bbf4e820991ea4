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
 * Service container: starts named services after their dependencies, finds them by name, and stops
 * them in reverse order.
 *
 * <p>Invariant: a service runs only while all its dependencies run. Registration, start and stop
 * belong to one thread; {@link #find} may be called from any thread after the start.
 */
public final class Kernel {
    private static final Logger LOG = Logger.getLogger(Kernel.class);

    private final Map<String, Registration> registrations = new LinkedHashMap<>();
    private final Deque<Registration> started = new ArrayDeque<>();
    private final Set<String> startedNames = new HashSet<>();
    private boolean stopped;

    private record Registration(String name, Service service, List<String> dependencies) {}

    /**
     * Adds a service.
     *
     * @param name unique name
     * @param service the service
     * @param dependencies names of the services that must be running before it starts
     * @return this kernel
     */
    public Kernel register(String name, Service service, String... dependencies) {
        if (registrations.put(name, new Registration(name, service, List.of(dependencies)))
                != null) {
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
        } catch (RuntimeException | Error e) {
            stop();
            throw e;
        }
    }

    private void start(Registration registration, Set<String> path) {
        if (startedNames.contains(registration.name())) {
            return;
        }
        if (!path.add(registration.name())) {
            throw new IllegalStateException("services depend on each other: " + path);
        }
        for (String dependency : registration.dependencies()) {
            Registration required = registrations.get(dependency);
            if (required == null) {
                throw new IllegalStateException(
                        "service '"
                                + registration.name()
                                + "' depends on unknown service '"
                                + dependency
                                + "'");
            }
            start(required, path);
        }
        registration.service().start(this);
        started.push(registration);
        startedNames.add(registration.name());
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
            throw new IllegalStateException("service '" + name + "' is not registered");
        }
        return type.cast(registration.service());
    }

    /** Drains all services, then stops them, in reverse order of their start. */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        for (Registration registration : started) {
            runLoggingErrors(registration, registration.service()::drain);
        }
        for (Registration registration : started) {
            runLoggingErrors(registration, registration.service()::stop);
        }
    }

    private static void runLoggingErrors(Registration registration, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.warnf("cannot shut down service %s: %s", registration.name(), e);
        }
    }
}
