package org.chivevale.control.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.wire.proto.AccountUse;

/**
 * The usage counters of client accounts, summed over all proxies.
 *
 * <p>A proxy reports counters since its start. Invariants: the counters of one incarnation of each
 * proxy are kept, and those of earlier ones are added up, so that memory does not grow with
 * restarts; no request is counted twice. Used on the event loop.
 */
public final class AccountUses {
    private final Map<String, Reported> latest = new HashMap<>();
    private final Map<String, AccountUse> ended = new HashMap<>();

    private static final class Reported {
        final long incarnation;
        final Map<String, AccountUse> byAccount = new HashMap<>();

        Reported(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /**
     * Records the counters of a proxy.
     *
     * @param proxyId the proxy
     * @param incarnation its incarnation; reports of an earlier one than the latest are ignored
     * @param uses counters since the start of the incarnation, of accounts that have changed
     */
    void report(String proxyId, long incarnation, List<AccountUse> uses) {
        Reported known = latest.get(proxyId);
        if (known != null && incarnation < known.incarnation) {
            return;
        }
        if (known == null || incarnation > known.incarnation) {
            end(known);
            known = new Reported(incarnation);
            latest.put(proxyId, known);
        }
        for (AccountUse use : uses) {
            known.byAccount.put(use.getAccountId(), use);
        }
    }

    private void end(Reported previous) {
        if (previous != null) {
            previous.byAccount.values().forEach(use -> addTo(ended, use));
        }
    }

    /**
     * Adds up the counters.
     *
     * @return the sums by client account, in the order of their ids
     */
    public Map<String, AccountUse> sums() {
        Map<String, AccountUse> sums = new TreeMap<>(ended);
        for (Reported reported : latest.values()) {
            reported.byAccount.values().forEach(use -> addTo(sums, use));
        }
        return sums;
    }

    private static void addTo(Map<String, AccountUse> sums, AccountUse use) {
        sums.merge(use.getAccountId(), use, AccountUses::add);
    }

    private static AccountUse add(AccountUse one, AccountUse other) {
        return one.toBuilder()
                .setServed(one.getServed() + other.getServed())
                .setServedWithinObjective(
                        one.getServedWithinObjective() + other.getServedWithinObjective())
                .setRefusedRate(one.getRefusedRate() + other.getRefusedRate())
                .setFailed(one.getFailed() + other.getFailed())
                .setReplicaReads(one.getReplicaReads() + other.getReplicaReads())
                .setReads(one.getReads() + other.getReads())
                .build();
    }
}
