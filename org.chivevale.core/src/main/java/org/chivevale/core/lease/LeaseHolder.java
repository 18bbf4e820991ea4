package org.chivevale.core.lease;

/**
 * The holder's side of a fleet lease.
 *
 * <p>Invariant: the lease expires at the holder before it does at the grantor, for any network
 * delay and any clock drift within the bound, because the holder counts from the time at which it
 * sent the request. Not thread safe.
 */
public final class LeaseHolder {
    private final long marginNanos;
    private boolean held;
    private long expiresAtNanos;

    /**
     * Creates a holder without a lease.
     *
     * @param marginNanos deducted from each lease, for clock drift and for a pause between check
     *     and use
     */
    public LeaseHolder(long marginNanos) {
        this.marginNanos = marginNanos;
    }

    /**
     * Records a granted lease; never moves the expiry of a held one back.
     *
     * @param sentAtNanos the monotonic time at which the request was sent
     * @param leaseNanos the duration granted
     */
    public void onGranted(long sentAtNanos, long leaseNanos) {
        long end = sentAtNanos + leaseNanos - marginNanos;
        if (!held || end - expiresAtNanos > 0) {
            expiresAtNanos = end;
        }
        held = true;
    }

    /** Drops the lease. */
    public void drop() {
        held = false;
    }

    /**
     * Tells whether the lease is held and has not expired.
     *
     * @param nowNanos the monotonic time
     * @return true while the process may act on its configuration
     */
    public boolean isValid(long nowNanos) {
        return held && nowNanos - expiresAtNanos < 0;
    }

    /**
     * Returns until when the process could last act on its configuration.
     *
     * @param nowNanos the monotonic time
     * @return the expiry of a lease that has expired, otherwise the given time
     */
    public long lastValidNanos(long nowNanos) {
        return held && nowNanos - expiresAtNanos > 0 ? expiresAtNanos : nowNanos;
    }
}
