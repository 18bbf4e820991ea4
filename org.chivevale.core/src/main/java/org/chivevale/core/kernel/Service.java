package org.chivevale.core.kernel;

/**
 * A part of a process that the kernel starts and stops.
 *
 * <p>Contract: {@link #start} returns once the service works; {@link #drain} lets it finish what it
 * has begun; {@link #stop} releases everything. Called by one thread.
 */
public interface Service {
    /**
     * Starts the service; the services it needs are running.
     *
     * @param kernel finds other services
     */
    void start(Kernel kernel);

    /** Refuses new work and returns when begun work has ended. */
    default void drain() {}

    /** Releases everything. */
    default void stop() {}
}
