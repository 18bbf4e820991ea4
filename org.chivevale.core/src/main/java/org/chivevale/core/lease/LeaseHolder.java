package org.chivevale.core.lease;

/**
 * The fleet lease as its holder counts it.
 *
 * <p>Invariant: the holder's end is before the grantor's end, whatever the network's delay and any
 * clock drift within the bound, because it counts from the moment it asked. Not thread safe.
 */
public final class LeaseHolder {
    private final long marginNanos;
    private boolean held;
    private long endNanos;

    /**
     * Creates a holder without a lease.
     *
     * @param marginNanos taken off each lease for clock drift and for a pause between check and use
     */
    public LeaseHolder(long marginNanos) {
        this.marginNanos = marginNanos;
    }

    /**
     * Takes a granted lease.
     *
     * @param askedAtNanos the monotonic time at which the request was sent
     * @param leaseNanos the length granted
     */
    public void renewed(long askedAtNanos, long leaseNanos) {
        long end = askedAtNanos + leaseNanos - marginNanos;
        if (!held || end - endNanos > 0) {
            endNanos = end;
        }
        held = true;
    }

    /** Gives the lease up. */
    public void drop() {
        held = false;
    }

    /**
     * Tells whether the lease stands.
     *
     * @param nowNanos the monotonic time
     * @return true while it may be relied upon
     */
    public boolean valid(long nowNanos) {
        return held && nowNanos - endNanos < 0;
    }
}
