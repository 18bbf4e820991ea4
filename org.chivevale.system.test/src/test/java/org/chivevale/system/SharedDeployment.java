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

/** Small deployments for tests, with the tables that the tests use. */
final class SharedDeployment {
    static final String DATABASE = "pickups";

    private SharedDeployment() {}

    static DeploymentPlan plan(int proxies, int slots, String... proxySettings) {
        return plan(proxies, 1, slots, "quorum", List.of(proxySettings));
    }

    static DeploymentPlan plan(
            int proxies, int controls, int slots, String acknowledge, List<String> proxySettings) {
        return new DeploymentPlan(
                List.of("muscat", "sohar", "salalah"),
                proxies,
                controls,
                List.of(new DeploymentPlan.DatabasePlan(DATABASE, slots, 3, 20, acknowledge)),
                List.of(account("hotel", 2000, 500), account("bakery", 2000, 500)),
                proxySettings,
                List.of());
    }

    static DeploymentPlan.AccountPlan account(String name, double rate, int burst) {
        return new DeploymentPlan.AccountPlan(name, rate, burst, List.of(DATABASE), 100);
    }

    static Path newFolder() {
        try {
            return Files.createTempDirectory("chivevale-test");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a deployment and makes the table {@code pickup} for each client account. */
    static Deployment start(DeploymentPlan plan) {
        return start(new Deployment(plan, newFolder()));
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
        JsonNode made =
                caller.statements(
                        proxy(deployment, 0),
                        DATABASE,
                        CallerClient.body(
                                        "CREATE TABLE pickup (id varchar(64), place varchar(100),"
                                                + " bags int)")
                                .put("slot", slot));
        if (made.path("code").asInt(-1) != 0) {
            throw new IllegalStateException(made.toString());
        }
    }

    static HostPort proxy(Deployment deployment, int index) {
        return deployment.proxies().get(index).listen();
    }
}
