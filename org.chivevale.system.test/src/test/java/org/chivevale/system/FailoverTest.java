package org.chivevale.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.run.LoadPlan;
import org.chivevale.load.run.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Replacing primaries under load, with real processes. */
class FailoverTest {
    private static final LoadPlan.Mix MIX = new LoadPlan.Mix(0.5, 0.2, 1000);
    private static final String GROUP = SharedDeployment.DATABASE + ".0";
    private static final double SENT_PER_SECOND = 150;
    private static final long LOAD_MILLIS = 6000;

    private Deployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    private LoadedDeployment load(long seed) {
        deployment = new Deployment(SharedDeployment.plan(3, 1), SharedDeployment.newFolder());
        deployment.start();
        return new LoadedDeployment(deployment, SENT_PER_SECOND, MIX, LOAD_MILLIS, seed).begin();
    }

    private static void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    private String primary() {
        Deployment.await("a primary", () -> !deployment.primaryOf(GROUP).isEmpty());
        return deployment.primaryOf(GROUP);
    }

    private void awaitAnotherPrimary(String old) {
        Deployment.await(
                "another primary",
                () -> {
                    String now = deployment.primaryOf(GROUP);
                    return !now.isEmpty() && !now.equals(old);
                });
    }

    private void requireKept(LoadReport report) {
        assertEquals(List.of(), report.violations(), report.text());
        assertTrue(report.json().path("writes_checked").asLong() > 0, report.text());
        requireServed();
    }

    /** The new primary takes a write, and each proxy shows it to the session. */
    private void requireServed() {
        CallerClient caller = new CallerClient(deployment.key("hotel"));
        JsonNode written =
                caller.statements(
                        SharedDeployment.proxy(deployment, 0),
                        SharedDeployment.DATABASE,
                        CallerClient.write(
                                0,
                                "INSERT INTO load_row (session, sequence, note)"
                                        + " VALUES ('after', 1, 'x')"));
        assertEquals("ran", written.path("outcome").asText(), written.toString());
        for (int proxy = 0; proxy < deployment.proxies().size(); proxy++) {
            JsonNode read =
                    caller.statements(
                            SharedDeployment.proxy(deployment, proxy),
                            SharedDeployment.DATABASE,
                            CallerClient.body(
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
        LoadedDeployment loaded = load(1);
        sleep(1500);
        String old = primary();
        deployment.endpoints().get(old).process().kill();
        Deployment.await(
                "another primary",
                () ->
                        !deployment.primaryOf(GROUP).isEmpty()
                                && !deployment.primaryOf(GROUP).equals(old));
        sleep(500);
        deployment.endpoints().get(old).process().start();
        LoadReport report = loaded.finish();
        requireKept(report);
        assertNotEquals(old, deployment.primaryOf(GROUP));
    }

    @Test
    void anIsolatedPrimaryIsReplacedAndComesBackAsAReplica() throws InterruptedException {
        LoadedDeployment loaded = load(2);
        sleep(1500);
        String old = primary();
        deployment.injectFault(old, "{\"silent\": true}");
        Deployment.await(
                "another primary",
                () ->
                        !deployment.primaryOf(GROUP).isEmpty()
                                && !deployment.primaryOf(GROUP).equals(old));
        sleep(500);
        deployment.injectFault(old, "{\"silent\": false}");
        LoadReport report = loaded.finish();
        requireKept(report);
        assertNotEquals(old, deployment.primaryOf(GROUP));
    }

    @Test
    void aHandOverMovesThePrimary() throws InterruptedException {
        LoadedDeployment loaded = load(3);
        sleep(1500);
        String old = primary();
        deployment
                .admin()
                .planAndConfirm(
                        CallerClient.MAPPER
                                .createObjectNode()
                                .put("kind", "hand-over")
                                .put("group", GROUP));
        Deployment.await(
                "another primary",
                () ->
                        !deployment.primaryOf(GROUP).isEmpty()
                                && !deployment.primaryOf(GROUP).equals(old));
        LoadReport report = loaded.finish();
        requireKept(report);
    }

    @Test
    void aLeavingPrimaryHandsOverBeforeItGoes() throws InterruptedException {
        LoadedDeployment loaded = load(4);
        sleep(1500);
        String old = primary();
        deployment.endpoints().get(old).process().requestStop();
        Deployment.await(
                "another primary",
                () ->
                        !deployment.primaryOf(GROUP).isEmpty()
                                && !deployment.primaryOf(GROUP).equals(old));
        Deployment.await(
                "the endpoint has ended",
                () -> !deployment.endpoints().get(old).process().isAlive());
        deployment.endpoints().get(old).process().start();
        LoadReport report = loaded.finish();
        requireKept(report);
        JsonNode status = deployment.admin().get("/v1/status");
        assertEquals("", status.path("groups").path(0).path("blocked").asText(), status.toString());
    }
}
