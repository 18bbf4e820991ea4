package org.chivevale.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The fleet leases as the control process counts them.
 *
 * <p>Invariant: {@link #inForce} is true only when every process that may still act has
 * acknowledged the version: each holder with a lease that may stand acknowledged it, and leases
 * that a predecessor granted have run out. Not thread safe.
 */
public final class LeaseGrantor {
    private static final long PARTS_PER_MILLION = 1_000_000;

    private final long leaseNanos;
    private final long longestNanos;
    private final long startedNanos;
    private final Map<String, Grant> grants = new HashMap<>();

    private record Grant(long grantedNanos, long acknowledgedVersion) {}

    /**
     * Creates a grantor that knows of no lease.
     *
     * @param leaseNanos the length of each lease
     * @param driftPartsPerMillion how far two clocks may drift apart
     * @param startedNanos the monotonic time of the start
     */
    public LeaseGrantor(long leaseNanos, long driftPartsPerMillion, long startedNanos) {
        this.leaseNanos = leaseNanos;
        this.longestNanos = leaseNanos + leaseNanos * driftPartsPerMillion / PARTS_PER_MILLION;
        this.startedNanos = startedNanos;
    }

    /**
     * Grants or renews a lease.
     *
     * @param holder the asking process and its incarnation
     * @param acknowledgedVersion the configuration version it has in force
     * @param nowNanos the monotonic time
     * @return the length granted
     */
    public long grant(String holder, long acknowledgedVersion, long nowNanos) {
        grants.put(holder, new Grant(nowNanos, acknowledgedVersion));
        return leaseNanos;
    }

    /**
     * Ends the lease of a process that gave it up.
     *
     * @param holder the process
     */
    public void release(String holder) {
        grants.remove(holder);
    }

    /**
     * Tells whether a version is in force everywhere.
     *
     * @param version the configuration version
     * @param nowNanos the monotonic time
     * @return true when nobody can act on an older one
     */
    public boolean inForce(long version, long nowNanos) {
        return nowNanos - startedNanos >= longestNanos && missing(version, nowNanos).isEmpty();
    }

    /**
     * Lists who may still act on an older version.
     *
     * @param version the configuration version
     * @param nowNanos the monotonic time
     * @return the holders that have not acknowledged it
     */
    public Set<String> missing(long version, long nowNanos) {
        Set<String> missing = new TreeSet<>();
        for (Map.Entry<String, Grant> entry : grants.entrySet()) {
            Grant grant = entry.getValue();
            if (mayStand(grant, nowNanos) && grant.acknowledgedVersion() < version) {
                missing.add(entry.getKey());
            }
        }
        return missing;
    }

    /**
     * Lists the processes whose lease may stand.
     *
     * @param nowNanos the monotonic time
     * @return the holders
     */
    public Set<String> holders(long nowNanos) {
        Set<String> holders = new TreeSet<>();
        grants.forEach(
                (holder, grant) -> {
                    if (mayStand(grant, nowNanos)) {
                        holders.add(holder);
                    }
                });
        return holders;
    }

    /**
     * Forgets leases that have run out.
     *
     * @param nowNanos the monotonic time
     */
    public void sweep(long nowNanos) {
        grants.values().removeIf(grant -> !mayStand(grant, nowNanos));
    }

    private boolean mayStand(Grant grant, long nowNanos) {
        return nowNanos - grant.grantedNanos() < longestNanos;
    }
}
