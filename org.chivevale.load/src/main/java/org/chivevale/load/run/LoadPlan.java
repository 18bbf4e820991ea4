package org.chivevale.load.run;

import java.util.List;
import org.chivevale.core.settings.HostPort;

/**
 * The parameters of a load run.
 *
 * <p>Immutable.
 *
 * @param proxies addresses of the proxies
 * @param database the database that requests use
 * @param slots number of slots of the database
 * @param accounts the client accounts
 * @param mix shares of the request types
 * @param durationMillis how long requests are sent
 * @param deadlineMillis the deadline of each request
 * @param retryMillis how long a caller retries a request that was not acknowledged
 * @param proxyWeights relative frequency of each proxy, in the order of the proxies; empty for
 *     equal weights
 * @param seed seed of the random requests; runs with the same seed generate the same requests
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
     * @param name name of the client account
     * @param key key of the client account
     * @param ratePerSecond rate limit of the client account
     * @param burst size of a burst, in requests
     * @param sentPerSecond mean rate at which its callers send
     * @param sessions number of sessions, each with one request in flight
     * @param objectiveMillis latency objective; responses within it count as in time
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
         * Returns whether the callers stay within the rate limit.
         *
         * @return false when they send more than the rate
         */
        public boolean withinRate() {
            return sentPerSecond <= ratePerSecond;
        }
    }

    /**
     * Shares of the request types; the rest are reads of the session's state.
     *
     * @param writes share of writes, 0 to 1
     * @param agedReads share of reads with an accepted age, 0 to 1
     * @param acceptedAgeMillis the accepted age
     */
    public record Mix(double writes, double agedReads, int acceptedAgeMillis) {}
}
