package org.chivevale.core.kernel;

import java.util.concurrent.CountDownLatch;

/**
 * Keeps a process running until it is told to stop.
 *
 * <p>Stateless and thread safe.
 */
public final class ProcessLifetime {
    private ProcessLifetime() {}

    /**
     * Blocks for the rest of the process's life; on SIGTERM or SIGINT runs the action, then ends.
     *
     * @param onStop drains and closes
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
