package org.chivevale.core.admission;

import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the connection limit of one endpoint instance among proxies.
 *
 * <p>Invariant: the shares that proxies may be using never add up to more than the limit. A reduced
 * share frees connections only once its proxy has acknowledged the reduction or lost its lease.
 * While a new leader does not know all proxies yet, only a part of the limit is given out above the
 * floor: the rest serves the proxies that report later, and covers connections of processes that
 * have just ended, which the endpoint still counts. What a proxy has in force from the leader
 * before it keeps, as far as it wants it. Not thread safe.
 */
public final class ConnectionShares {
    private final Map<String, Share> shares = new TreeMap<>();

    /** Part of the limit that is given out above the floor while a leader settles. */
    private static final int SETTLING_DIVISOR = 2;

    private final int floor;
    private int limit;
    private boolean isSettling;

    private static final class Share {
        int granted;
        int mayUse;
        int wanted;
        int inForce;
    }

    /**
     * Creates the shares of an endpoint, without proxies.
     *
     * @param limit connections that the endpoint accepts
     * @param floor minimum share of each proxy, as long as the limit allows
     */
    public ConnectionShares(int limit, int floor) {
        this.limit = limit;
        this.floor = floor;
    }

    /**
     * Sets whether the leader may not know all proxies yet.
     *
     * @param settling true in the first seconds of a leader
     */
    public void setSettling(boolean settling) {
        isSettling = settling;
    }

    /**
     * Changes the limit; a lower one takes effect as proxies acknowledge their new shares.
     *
     * @param newLimit connections that the endpoint accepts
     */
    public void changeLimit(int newLimit) {
        limit = newLimit;
    }

    /**
     * Records a proxy's demand and acknowledgement, and recomputes its share.
     *
     * @param proxy the reporting proxy
     * @param wanted how many connections it could use
     * @param inForce the share that it currently observes
     * @return its new share, in connections
     */
    public int report(String proxy, int wanted, int inForce) {
        Share share = shares.computeIfAbsent(proxy, key -> new Share());
        share.wanted = wanted;
        share.inForce = inForce;
        share.mayUse = inForce <= share.granted ? share.granted : Math.max(share.mayUse, inForce);
        adjust(proxy, share);
        return share.granted;
    }

    /**
     * Records the acknowledgement of a proxy that gets no share, since others hold the connections.
     *
     * @param proxy the reporting proxy
     * @param inForce the share that it currently observes
     */
    public void reportWithout(String proxy, int inForce) {
        Share share = shares.get(proxy);
        if (share == null && inForce == 0) {
            return;
        }
        if (share == null) {
            share = new Share();
            shares.put(proxy, share);
        }
        share.wanted = 0;
        share.inForce = inForce;
        share.mayUse = inForce <= share.granted ? share.granted : Math.max(share.mayUse, inForce);
        share.granted = 0;
        if (share.mayUse == 0) {
            shares.remove(proxy);
        }
    }

    /**
     * Withdraws the share of a proxy that has not reported since others hold the connections; what
     * it may use stays committed until it reports.
     *
     * @param proxy the proxy
     * @return true when it had a share
     */
    public boolean withdraw(String proxy) {
        Share share = shares.get(proxy);
        if (share == null || share.granted == 0) {
            return false;
        }
        share.wanted = 0;
        share.mayUse = Math.max(share.mayUse, share.granted);
        share.granted = 0;
        return true;
    }

    private void adjust(String proxy, Share share) {
        int kept = isSettling ? Math.min(share.wanted, share.inForce) : 0;
        int target = Math.max(kept, target(proxy));
        if (target < share.granted) {
            share.granted = target;
        } else {
            int committed = committedWithout(proxy);
            int atFloor = Math.min(Math.min(target, floor), limit - committed);
            int aboveFloor = Math.min(target, usableAboveFloor() - committed);
            share.granted = Math.max(kept, Math.max(atFloor, aboveFloor));
            share.mayUse = Math.max(share.mayUse, share.granted);
        }
    }

    private int usableAboveFloor() {
        return isSettling ? limit / SETTLING_DIVISOR : limit;
    }

    /**
     * Recomputes the share of a proxy whose demand and limit have not changed since its last
     * report.
     *
     * @param proxy the proxy
     * @return true when its share has changed; false also for a proxy that has not reported
     */
    public boolean refresh(String proxy) {
        Share share = shares.get(proxy);
        if (share == null) {
            return false;
        }
        int before = share.granted;
        adjust(proxy, share);
        return share.granted != before;
    }

    /**
     * Returns a proxy's share.
     *
     * @param proxy the proxy
     * @return connections; 0 for a proxy that has not reported
     */
    public int granted(String proxy) {
        Share share = shares.get(proxy);
        return share == null ? 0 : share.granted;
    }

    /**
     * Frees the share of a proxy whose lease has expired.
     *
     * @param proxy the proxy
     */
    public void remove(String proxy) {
        shares.remove(proxy);
    }

    /**
     * Returns the number of connections that proxies may be using.
     *
     * @return never above the limit, unless the limit was lowered
     */
    public int committed() {
        return committedWithout(null);
    }

    private int committedWithout(String proxy) {
        int sum = 0;
        for (Map.Entry<String, Share> entry : shares.entrySet()) {
            if (!entry.getKey().equals(proxy)) {
                sum += Math.max(entry.getValue().mayUse, entry.getValue().granted);
            }
        }
        return sum;
    }

    private int target(String proxy) {
        int usable = usableAboveFloor();
        int base = Math.min(floor, usable / Math.max(1, shares.size()));
        int spare = usable - base * shares.size();
        int totalAboveBase = 0;
        for (Share share : shares.values()) {
            totalAboveBase += Math.max(0, share.wanted - base);
        }
        int demandAboveBase = Math.max(0, shares.get(proxy).wanted - base);
        if (totalAboveBase <= spare) {
            int idle = isSettling ? 0 : (spare - totalAboveBase) / (shares.size() + 1);
            return base + demandAboveBase + idle;
        }
        return base + divideRoundingUp((long) spare * demandAboveBase, totalAboveBase);
    }

    /** Rounds up, so that a small demand among many gets a connection while one is free. */
    private static int divideRoundingUp(long dividend, int divisor) {
        return (int) ((dividend + divisor - 1) / divisor);
    }
}
