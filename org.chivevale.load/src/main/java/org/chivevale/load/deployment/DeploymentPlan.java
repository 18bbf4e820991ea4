package org.chivevale.load.deployment;

import java.util.List;

/**
 * What a trial deployment consists of.
 *
 * <p>Immutable.
 *
 * @param regions names of the regions
 * @param proxies number of proxies, spread over the regions
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
     * @param name its name
     * @param slots its slots
     * @param endpoints endpoints that each serve all slots
     * @param connectionLimit connections that each group accepts at an endpoint
     * @param acknowledge quorum or primary
     */
    public record DatabasePlan(
            String name, int slots, int endpoints, int connectionLimit, String acknowledge) {}

    /**
     * A client account.
     *
     * @param name its name
     * @param ratePerSecond its rate
     * @param burst its burst
     * @param databases names of its databases
     * @param objectiveMillis answers within this time count as served well
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
