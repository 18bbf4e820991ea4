package org.chivevale.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.DeploymentPlan;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole path with real processes: caller, proxy, endpoint, control. */
class WholePathTest {
    private static Deployment deployment;

    @BeforeAll
    static void start(@TempDir Path folder) {
        deployment =
                new Deployment(
                        new DeploymentPlan(
                                List.of("muscat", "sohar", "salalah"),
                                2,
                                1,
                                List.of(
                                        new DeploymentPlan.DatabasePlan(
                                                "pickups", 2, 3, 20, "quorum")),
                                List.of(
                                        new DeploymentPlan.AccountPlan(
                                                "hotel", 500, 100, List.of("pickups"), 100),
                                        new DeploymentPlan.AccountPlan(
                                                "bakery", 500, 100, List.of("pickups"), 100)),
                                List.of(),
                                List.of()),
                        folder);
        deployment.start();
        CallerClient hotel = new CallerClient(deployment.key("hotel"));
        for (int slot = 0; slot < 2; slot++) {
            JsonNode made =
                    hotel.statements(
                            proxy(0),
                            "pickups",
                            CallerClient.body(
                                            "CREATE TABLE pickup (id varchar(36) PRIMARY KEY,"
                                                    + " place varchar(100), bags int)")
                                    .put("slot", slot));
            assertEquals(0, made.path("code").asInt(), made.toString());
        }
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    private static HostPort proxy(int index) {
        return deployment.proxies().get(index).listen();
    }

    @Test
    void aSessionReadsItsOwnWriteThroughAnotherProxy() {
        CallerClient caller = new CallerClient(deployment.key("hotel"));
        for (int i = 0; i < 20; i++) {
            JsonNode written =
                    caller.statements(
                            proxy(i % 2),
                            "pickups",
                            CallerClient.write(
                                    0,
                                    "INSERT INTO pickup VALUES ($1, $2, $3)",
                                    "ryw-" + i,
                                    "a",
                                    i));
            assertEquals("ran", written.path("outcome").asText(), written.toString());
            JsonNode read =
                    caller.statements(
                            proxy((i + 1) % 2),
                            "pickups",
                            CallerClient.body("SELECT bags FROM pickup WHERE id = $1", "ryw-" + i)
                                    .put("slot", 0)
                                    .put("session", written.path("session").asText()));
            assertEquals(
                    i,
                    read.path("results").path(0).path("rows").path(0).path(0).asInt(-1),
                    read.toString());
        }
    }
}
