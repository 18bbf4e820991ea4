package org.chivevale.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.DeploymentPlan;

/** Creates small deployments for tests, with the tables that the tests use. */
final class TestDeployments {
    static final String DATABASE = "pickups";

    private TestDeployments() {}

    static DeploymentPlan createPlan(int proxies, int slots, String... proxySettings) {
        return createPlan(proxies, 1, slots, "quorum", List.of(proxySettings));
    }

    static DeploymentPlan createPlan(
            int proxies, int controls, int slots, String acknowledge, List<String> proxySettings) {
        return new DeploymentPlan(
                List.of("muscat", "sohar", "salalah"),
                proxies,
                controls,
                List.of(new DeploymentPlan.DatabasePlan(DATABASE, slots, 3, 20, acknowledge)),
                List.of(createAccount("hotel", 2000, 500), createAccount("bakery", 2000, 500)),
                proxySettings,
                List.of());
    }

    static DeploymentPlan.AccountPlan createAccount(String name, double ratePerSecond, int burst) {
        return new DeploymentPlan.AccountPlan(name, ratePerSecond, burst, List.of(DATABASE), 100);
    }

    static Path createTempFolder() {
        try {
            return Files.createTempDirectory("chivevale-test");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a deployment and creates the table {@code pickup} for each client account. */
    static Deployment start(DeploymentPlan plan) {
        return start(new Deployment(plan, createTempFolder()));
    }

    static Deployment start(Deployment deployment) {
        deployment.start();
        for (DeploymentPlan.AccountPlan account : deployment.plan().accounts()) {
            for (int slot = 0; slot < deployment.plan().databases().get(0).slots(); slot++) {
                createTable(deployment, account.name(), slot);
            }
        }
        return deployment;
    }

    private static void createTable(Deployment deployment, String account, int slot) {
        CallerClient caller = new CallerClient(deployment.key(account));
        JsonNode response =
                caller.postStatements(
                        proxyAddress(deployment, 0),
                        DATABASE,
                        CallerClient.createBody(
                                        "CREATE TABLE pickup (id varchar(64), place varchar(100),"
                                                + " bags int)")
                                .put("slot", slot));
        if (response.path("code").asInt(-1) != 0) {
            throw new IllegalStateException(response.toString());
        }
    }

    static HostPort proxyAddress(Deployment deployment, int index) {
        return deployment.proxies().get(index).listen();
    }
}
