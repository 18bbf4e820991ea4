package org.chivevale.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.run.LoadPlan;
import org.chivevale.load.run.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests failover and switchover of primaries under load, with real processes. */
class FailoverTest {
    private static final LoadPlan.Mix MIX = new LoadPlan.Mix(0.5, 0.2, 1000);
    private static final String GROUP = TestDeployments.DATABASE + ".0";
    private static final double REQUESTS_PER_SECOND = 150;
    private static final long LOAD_MILLIS = 6000;

    private Deployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    private LoadedDeployment startLoad(long seed) {
        deployment =
                new Deployment(
                        TestDeployments.createPlan(3, 1), TestDeployments.createTempFolder());
        deployment.start();
        return new LoadedDeployment(deployment, REQUESTS_PER_SECOND, MIX, LOAD_MILLIS, seed)
                .startLoad();
    }

    private static void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    private String awaitPrimary() {
        return awaitNewPrimary("");
    }

    /** Decides on one status and returns its primary, which a second one might no longer have. */
    private String awaitNewPrimary(String oldPrimary) {
        AtomicReference<String> found = new AtomicReference<>("");
        Deployment.await(
                "group has a new primary",
                () -> {
                    found.set(deployment.primaryOf(GROUP));
                    return !found.get().isEmpty() && !found.get().equals(oldPrimary);
                });
        return found.get();
    }

    private void assertGuaranteesHeld(LoadReport report) {
        assertEquals(List.of(), report.violations(), report.text());
        assertTrue(report.json().path("writes_checked").asLong() > 0, report.text());
        assertNewPrimaryServes();
    }

    /** Writes through the new primary and checks that the session reads the row at every proxy. */
    private void assertNewPrimaryServes() {
        CallerClient caller = new CallerClient(deployment.key("hotel"));
        JsonNode written =
                caller.postStatements(
                        TestDeployments.proxyAddress(deployment, 0),
                        TestDeployments.DATABASE,
                        CallerClient.createWriteBody(
                                0,
                                "INSERT INTO load_row (session, sequence, note)"
                                        + " VALUES ('after', 1, 'x')"));
        assertEquals("ran", written.path("outcome").asText(), written.toString());
        for (int proxy = 0; proxy < deployment.proxies().size(); proxy++) {
            JsonNode read =
                    caller.postStatements(
                            TestDeployments.proxyAddress(deployment, proxy),
                            TestDeployments.DATABASE,
                            CallerClient.createBody(
                                            "SELECT count(*) FROM load_row WHERE session = 'after'")
                                    .put("slot", 0)
                                    .put("session", written.path("session").asText()));
            assertEquals(
                    1,
                    read.path("results").path(0).path("rows").path(0).path(0).asInt(-1),
                    read.toString());
        }
    }

    @Test
    void aKilledPrimaryIsReplacedAndNoAcknowledgedWriteIsLost() throws InterruptedException {
        LoadedDeployment loaded = startLoad(1);
        sleep(1500);
        String oldPrimary = awaitPrimary();
        deployment.endpoints().get(oldPrimary).process().kill();
        awaitNewPrimary(oldPrimary);
        sleep(500);
        deployment.endpoints().get(oldPrimary).process().start();
        LoadReport report = loaded.awaitReport();
        assertGuaranteesHeld(report);
        assertNotEquals(oldPrimary, deployment.primaryOf(GROUP));
    }

    @Test
    void anIsolatedPrimaryIsReplacedAndRejoinsAsAReplica() throws InterruptedException {
        LoadedDeployment loaded = startLoad(2);
        sleep(1500);
        String oldPrimary = awaitPrimary();
        deployment.injectFault(oldPrimary, "{\"silent\": true}");
        awaitNewPrimary(oldPrimary);
        sleep(500);
        deployment.injectFault(oldPrimary, "{\"silent\": false}");
        LoadReport report = loaded.awaitReport();
        assertGuaranteesHeld(report);
        assertNotEquals(oldPrimary, deployment.primaryOf(GROUP));
    }

    @Test
    void aHandOverMovesThePrimary() throws InterruptedException {
        LoadedDeployment loaded = startLoad(3);
        sleep(1500);
        String oldPrimary = awaitPrimary();
        deployment
                .admin()
                .planAndConfirm(
                        CallerClient.MAPPER
                                .createObjectNode()
                                .put("kind", "hand-over")
                                .put("group", GROUP));
        awaitNewPrimary(oldPrimary);
        LoadReport report = loaded.awaitReport();
        assertGuaranteesHeld(report);
    }

    @Test
    void aPrimaryIsReplacedBeforeItShutsDown() throws InterruptedException {
        LoadedDeployment loaded = startLoad(4);
        sleep(1500);
        String oldPrimary = awaitPrimary();
        deployment.endpoints().get(oldPrimary).process().requestStop();
        awaitNewPrimary(oldPrimary);
        Deployment.await(
                "endpoint process has exited",
                () -> !deployment.endpoints().get(oldPrimary).process().isAlive());
        deployment.endpoints().get(oldPrimary).process().start();
        LoadReport report = loaded.awaitReport();
        assertGuaranteesHeld(report);
        JsonNode status = deployment.admin().get("/v1/status");
        assertEquals("", status.path("groups").path(0).path("blocked").asText(), status.toString());
    }
}
