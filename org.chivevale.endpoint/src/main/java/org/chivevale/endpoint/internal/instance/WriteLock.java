package org.chivevale.endpoint.internal.instance;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Serializes transactions whose replay depends on their order.
 *
 * <p>Replicas replay one transaction after the other. Plain inserts give the same rows in any
 * order, so they share the lock; a transaction with any other write holds it exclusively until it
 * commits. Thread safe; a hold may be released by any thread.
 */
public final class WriteLock {
    private static final int EXCLUSIVE_PERMITS = 10_000;

    private final Semaphore permits = new Semaphore(EXCLUSIVE_PERMITS, true);

    /** Hold of one transaction on the lock: none, shared or exclusive. */
    public final class Hold {
        private int heldPermits;

        /**
         * Acquires the lock, or upgrades a shared hold to an exclusive one.
         *
         * @param exclusive true to exclude all other writers
         * @param timeoutMillis the maximum time to wait
         * @return false when the wait timed out
         * @throws InterruptedException when the thread is interrupted
         */
        public boolean acquire(boolean exclusive, long timeoutMillis) throws InterruptedException {
            int wanted = exclusive ? EXCLUSIVE_PERMITS : 1;
            if (heldPermits >= wanted) {
                return true;
            }
            int missing = wanted - heldPermits;
            if (!permits.tryAcquire(missing, timeoutMillis, TimeUnit.MILLISECONDS)) {
                return false;
            }
            heldPermits = wanted;
            return true;
        }

        /**
         * Tells whether the hold is shared, so that upgrading it may deadlock with another upgrade.
         *
         * @return true when the lock is held, but not exclusively
         */
        public boolean isShared() {
            return heldPermits > 0 && heldPermits < EXCLUSIVE_PERMITS;
        }

        /** Releases the lock; does nothing when it is not held. */
        public void release() {
            permits.release(heldPermits);
            heldPermits = 0;
        }
    }
}
