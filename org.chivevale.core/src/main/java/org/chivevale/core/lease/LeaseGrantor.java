package org.chivevale.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Grants fleet leases and tracks the configuration version that each holder has acknowledged.
 *
 * <p>Invariant: {@link #isInForce} is true only when no process can act on an older version: each
 * holder whose lease may still be valid has acknowledged the version, and the leases that a
 * previous leader granted have expired. Not thread safe.
 */
public final class LeaseGrantor {
    private static final long PARTS_PER_MILLION = 1_000_000;

    private final long leaseNanos;
    private final long longestLeaseNanos;
    private final long startedNanos;
    private final Map<String, Grant> grants = new HashMap<>();

    private record Grant(long grantedNanos, long acknowledgedVersion) {}

    /**
     * Creates a grantor without leases.
     *
     * @param leaseNanos the duration of each lease
     * @param driftPartsPerMillion the largest relative drift between two clocks
     * @param startedNanos the monotonic time at which this process began to grant leases
     */
    public LeaseGrantor(long leaseNanos, long driftPartsPerMillion, long startedNanos) {
        this.leaseNanos = leaseNanos;
        this.longestLeaseNanos = leaseNanos + leaseNanos * driftPartsPerMillion / PARTS_PER_MILLION;
        this.startedNanos = startedNanos;
    }

    /**
     * Grants or renews a lease.
     *
     * @param holder the requesting process and its incarnation
     * @param acknowledgedVersion the configuration version it has in force
     * @param nowNanos the monotonic time
     * @return the duration granted, from when the request was sent
     */
    public long grant(String holder, long acknowledgedVersion, long nowNanos) {
        grants.put(holder, new Grant(nowNanos, acknowledgedVersion));
        return leaseNanos;
    }

    /**
     * Removes the lease of a process that has given it up.
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
     * @return true when no process can act on an older one
     */
    public boolean isInForce(long version, long nowNanos) {
        return nowNanos - startedNanos >= longestLeaseNanos
                && findHoldersBehind(version, nowNanos).isEmpty();
    }

    /**
     * Lists the holders that may still act on an older version.
     *
     * @param version the configuration version
     * @param nowNanos the monotonic time
     * @return holders with a lease that may be valid and no acknowledgement of the version
     */
    public Set<String> findHoldersBehind(long version, long nowNanos) {
        Set<String> missing = new TreeSet<>();
        for (Map.Entry<String, Grant> entry : grants.entrySet()) {
            Grant grant = entry.getValue();
            if (mayBeValid(grant, nowNanos) && grant.acknowledgedVersion() < version) {
                missing.add(entry.getKey());
            }
        }
        return missing;
    }

    /**
     * Lists the processes whose lease may still be valid.
     *
     * @param nowNanos the monotonic time
     * @return the holders
     */
    public Set<String> holders(long nowNanos) {
        Set<String> holders = new TreeSet<>();
        grants.forEach(
                (holder, grant) -> {
                    if (mayBeValid(grant, nowNanos)) {
                        holders.add(holder);
                    }
                });
        return holders;
    }

    /**
     * Removes expired leases.
     *
     * @param nowNanos the monotonic time
     */
    public void removeExpired(long nowNanos) {
        grants.values().removeIf(grant -> !mayBeValid(grant, nowNanos));
    }

    private boolean mayBeValid(Grant grant, long nowNanos) {
        return nowNanos - grant.grantedNanos() < longestLeaseNanos;
    }
}
