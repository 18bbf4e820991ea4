package org.chivevale.core.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Remembers endpoints that must have restarted, since nothing listened at their address.
 *
 * <p>Such an endpoint is probably cold, and control learns it only from its next announcement. It
 * counts as cold until the list of members has another incarnation, or for some time after its
 * first reply, by which its announcement has been received. Not thread safe.
 */
public final class RestartWatch {
    private final long announcementNanos;
    private final Map<WarmupTarget, Restart> restarts = new HashMap<>();

    private static final class Restart {
        final long incarnation;
        boolean hasReplied;
        long repliedAtNanos;

        Restart(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /**
     * Creates a watch without restarts.
     *
     * @param announcementNanos time after its first reply by which an endpoint's announcement has
     *     reached the proxies
     */
    public RestartWatch(long announcementNanos) {
        this.announcementNanos = announcementNanos;
    }

    /**
     * Notes that nothing listens at an endpoint's address.
     *
     * @param target the endpoint
     * @param incarnation its incarnation in the list of members
     */
    public void onRefused(WarmupTarget target, long incarnation) {
        restarts.put(target, new Restart(incarnation));
    }

    /**
     * Notes that an endpoint has accepted a connection or replied.
     *
     * @param target the endpoint
     * @param nowNanos the monotonic time
     */
    public void onReply(WarmupTarget target, long nowNanos) {
        Restart restart = restarts.get(target);
        if (restart != null && !restart.hasReplied) {
            restart.hasReplied = true;
            restart.repliedAtNanos = nowNanos;
        }
    }

    /**
     * Tells whether an endpoint counts as cold.
     *
     * @param target the endpoint
     * @param nowNanos the monotonic time
     * @return true after a restart that the list of members does not show yet
     */
    public boolean isPresumedCold(WarmupTarget target, long nowNanos) {
        Restart restart = restarts.get(target);
        if (restart == null) {
            return false;
        }
        if (restart.hasReplied && nowNanos - restart.repliedAtNanos >= announcementNanos) {
            restarts.remove(target);
            return false;
        }
        return true;
    }

    /**
     * Tells whether an endpoint counts as cold and accepts connections again.
     *
     * @param target the endpoint
     * @param nowNanos the monotonic time
     * @return false also while nothing listens, so that attempts to connect need no token
     */
    public boolean isBackAndPresumedCold(WarmupTarget target, long nowNanos) {
        return isPresumedCold(target, nowNanos) && restarts.get(target).hasReplied;
    }

    /**
     * Drops endpoints whose incarnation has changed, since the list of members covers them now.
     *
     * @param incarnations gives the incarnation in the list; 0 for an endpoint that is not in it
     */
    public void onMembersChanged(ToLongFunction<WarmupTarget> incarnations) {
        restarts.entrySet()
                .removeIf(
                        entry ->
                                incarnations.applyAsLong(entry.getKey())
                                        != entry.getValue().incarnation);
    }

    /**
     * Tells whether no endpoint counts as cold.
     *
     * @return true when nothing has to be looked up
     */
    public boolean isEmpty() {
        return restarts.isEmpty();
    }
}
