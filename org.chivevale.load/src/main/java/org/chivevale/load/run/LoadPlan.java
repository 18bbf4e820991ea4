package org.chivevale.load.run;

import java.util.List;
import org.chivevale.core.settings.HostPort;

/**
 * What a run of load does.
 *
 * <p>Immutable.
 *
 * @param proxies where callers connect
 * @param database the database they use
 * @param slots its slots
 * @param accounts the client accounts
 * @param mix shares of the kinds of requests
 * @param durationMillis how long requests are sent
 * @param deadlineMillis the deadline of each request
 * @param retryMillis how long a caller repeats a request that was not acknowledged
 * @param proxyWeights how often each proxy is chosen, in the order of the proxies
 * @param seed makes two runs send the same
 */
public record LoadPlan(
        List<HostPort> proxies,
        String database,
        int slots,
        List<AccountLoad> accounts,
        Mix mix,
        long durationMillis,
        long deadlineMillis,
        long retryMillis,
        List<Integer> proxyWeights,
        long seed) {
    public LoadPlan {
        proxies = List.copyOf(proxies);
        accounts = List.copyOf(accounts);
        proxyWeights = List.copyOf(proxyWeights);
    }

    /**
     * The callers of one client account.
     *
     * @param name the client account
     * @param key its key
     * @param ratePerSecond its rate
     * @param burst its burst
     * @param sentPerSecond requests that its callers send
     * @param sessions its callers
     * @param objectiveMillis answers within this time count as served well
     */
    public record AccountLoad(
            String name,
            String key,
            double ratePerSecond,
            int burst,
            double sentPerSecond,
            int sessions,
            int objectiveMillis) {
        /**
         * Tells whether its callers keep to its rate.
         *
         * @return false for one that sends more
         */
        public boolean withinRate() {
            return sentPerSecond <= ratePerSecond;
        }
    }

    /**
     * Shares of the kinds of requests; the rest are reads of the session's state.
     *
     * @param writes share of writes
     * @param agedReads share of reads that accept an age
     * @param acceptedAgeMillis that age
     */
    public record Mix(double writes, double agedReads, int acceptedAgeMillis) {}
}
