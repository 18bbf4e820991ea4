package org.chivevale.load.deployment;

import java.util.List;

/**
 * The parts of a deployment on loopback.
 *
 * <p>Immutable.
 *
 * @param regions names of the regions
 * @param proxies number of proxies, distributed over the regions
 * @param controls number of control processes
 * @param databases the databases
 * @param accounts the client accounts
 * @param proxySettings lines added to the settings of each proxy
 * @param controlSettings lines added to the settings of each control process
 */
public record DeploymentPlan(
        List<String> regions,
        int proxies,
        int controls,
        List<DatabasePlan> databases,
        List<AccountPlan> accounts,
        List<String> proxySettings,
        List<String> controlSettings) {
    public DeploymentPlan {
        regions = List.copyOf(regions);
        databases = List.copyOf(databases);
        accounts = List.copyOf(accounts);
        proxySettings = List.copyOf(proxySettings);
        controlSettings = List.copyOf(controlSettings);
    }

    /**
     * A database.
     *
     * @param name name of the database
     * @param slots number of slots
     * @param endpoints number of endpoints; each serves all slots
     * @param connectionLimit connections that each group accepts at an endpoint
     * @param acknowledge when a write is acknowledged: {@code quorum} or {@code primary}
     */
    public record DatabasePlan(
            String name, int slots, int endpoints, int connectionLimit, String acknowledge) {}

    /**
     * A client account.
     *
     * @param name name of the client account
     * @param ratePerSecond rate limit in requests per second
     * @param burst size of a burst, in requests
     * @param databases names of the databases that it may use
     * @param objectiveMillis latency objective; responses within it count as in time
     */
    public record AccountPlan(
            String name,
            double ratePerSecond,
            int burst,
            List<String> databases,
            int objectiveMillis) {
        public AccountPlan {
            databases = List.copyOf(databases);
        }
    }
}
