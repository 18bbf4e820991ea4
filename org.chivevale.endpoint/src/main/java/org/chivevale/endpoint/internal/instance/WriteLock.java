package org.chivevale.endpoint.internal.instance;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Keeps apart transactions whose replay would depend on their order.
 *
 * <p>Statements are replayed one transaction after the other. Plain inserts give the same rows in
 * any order, so they share the lock; everything else that writes excludes all others until it
 * commits. Thread safe; a hold may be released by any thread.
 */
public final class WriteLock {
    private static final int ALL = 10_000;

    private final Semaphore permits = new Semaphore(ALL, true);

    /** One transaction's part of the lock. */
    public final class Hold {
        private int held;

        /**
         * Takes the lock, or more of it.
         *
         * @param exclusive true to exclude all other writers
         * @param timeoutMillis how long to wait
         * @return false when others held it all the time
         * @throws InterruptedException when the thread is interrupted
         */
        public boolean acquire(boolean exclusive, long timeoutMillis) throws InterruptedException {
            int wanted = exclusive ? ALL : 1;
            if (held >= wanted) {
                return true;
            }
            int missing = wanted - held;
            if (!permits.tryAcquire(missing, timeoutMillis, TimeUnit.MILLISECONDS)) {
                return false;
            }
            held = wanted;
            return true;
        }

        /**
         * Tells whether others may be waiting for this hold while it wants more.
         *
         * @return true when the lock is held, but not exclusively
         */
        public boolean isShared() {
            return held > 0 && held < ALL;
        }

        /** Gives back what is held. */
        public void release() {
            permits.release(held);
            held = 0;
        }
    }
}
