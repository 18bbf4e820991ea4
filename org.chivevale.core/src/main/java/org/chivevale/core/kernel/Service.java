package org.chivevale.core.kernel;

/**
 * A part of a process that the kernel starts and stops.
 *
 * <p>Contract: {@link #start} returns once the service is ready; {@link #drain} lets work in
 * progress finish; {@link #stop} releases all resources. Called by one thread at a time.
 */
public interface Service {
    /**
     * Starts the service; its dependencies are running.
     *
     * @param kernel finds other services
     */
    void start(Kernel kernel);

    /** Stops accepting new work and returns once work in progress has finished. */
    default void drain() {}

    /** Releases all resources. */
    default void stop() {}
}
