package org.chivevale.core.kernel;

import java.util.concurrent.CountDownLatch;

/**
 * Keeps a process running until it receives a signal to stop.
 *
 * <p>Stateless and thread safe.
 */
public final class ProcessLifetime {
    private ProcessLifetime() {}

    /**
     * Blocks until the process exits; on SIGTERM or SIGINT runs the action first.
     *
     * @param onStop shuts the process down
     */
    public static void runUntilStopped(Runnable onStop) {
        Runtime.getRuntime().addShutdownHook(new Thread(onStop, "stop"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sleeps; returns early when the thread is interrupted.
     *
     * @param millis how long
     */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
