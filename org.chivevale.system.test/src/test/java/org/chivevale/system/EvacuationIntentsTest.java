package org.chivevale.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.load.deployment.Deployment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Evacuates data centres through the administration API, with real processes and HTTP callers.
 *
 * <p>Guards against orders that are committed twice or for a data centre that does not exist,
 * against plans that undo another operator's order unseen, and against HTTP requests and
 * transactions that use an evacuated endpoint.
 */
class EvacuationIntentsTest {
    private static final List<String> DATA_CENTERS = List.of("muscat-1", "sohar-1", "salalah-1");
    private static final int ENDPOINT_MISSING = ResultCode.ENDPOINT_MISSING.number();

    private Deployment deployment;
    private CallerClient hotel;

    @BeforeEach
    void start() {
        deployment = TestDeployments.start(TestDeployments.createPlan(2, 1));
        hotel = new CallerClient(deployment.key("hotel"));
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    private JsonNode plan(String kind, String dataCenter) {
        return deployment
                .admin()
                .plan(
                        CallerClient.MAPPER
                                .createObjectNode()
                                .put("kind", kind)
                                .put("data_center", dataCenter));
    }

    private long confirm(String kind, String dataCenter) {
        return deployment.admin().confirm(plan(kind, dataCenter)).path("version").asLong();
    }

    private JsonNode status() {
        return deployment.admin().get("/v1/status");
    }

    private void awaitInForce() {
        Deployment.await(
                "the orders to be in force",
                () -> {
                    for (JsonNode evacuation : status().path("evacuations")) {
                        if (evacuation.path("in_force_unix_ms").asLong() == 0) {
                            return false;
                        }
                    }
                    return true;
                });
    }

    private JsonNode request(int proxy, ObjectNode body) {
        return hotel.postStatements(
                TestDeployments.proxyAddress(deployment, proxy), TestDeployments.DATABASE, body);
    }

    private static ObjectNode write(String id) {
        return CallerClient.createWriteBody(0, "INSERT INTO pickup VALUES ($1, 'k', 1)", id);
    }

    private static ObjectNode read() {
        return CallerClient.createBody("SELECT count(*) FROM pickup")
                .put("slot", 0)
                .put("accepted_age_ms", 2000);
    }

    @Test
    void anOrderIsPlannedConfirmedOnceAndShown() {
        ChivevaleException unknown =
                assertThrows(
                        ChivevaleException.class, () -> plan("datacenter-evacuate", "nowhere"));
        assertEquals(ResultCode.INTENT_INVALID, unknown.code());
        assertTrue(unknown.getMessage().contains("muscat-1"), unknown.getMessage());
        JsonNode stale = plan("datacenter-evacuate", "sohar-1");
        long version = confirm("datacenter-evacuate", "sohar-1");
        assertEquals(version, confirm("datacenter-evacuate", "sohar-1"), "committed twice");
        awaitInForce();
        JsonNode shown = status().path("evacuations").path(0);
        assertEquals("sohar-1", shown.path("data_center").asText());
        assertEquals("root", shown.path("operator").asText());
        assertEquals(2, shown.path("proxies_in_force").asInt(), shown.toString());
        assertEquals(2, shown.path("proxies").asInt(), shown.toString());
        String metrics = deploymentMetrics();
        assertTrue(
                metrics.contains(
                        "chivevale_control_evacuation_proxies_in_force{data_center=\"sohar-1\"} 2.0"),
                metrics);
        confirm("datacenter-restore", "sohar-1");
        ChivevaleException outdated =
                assertThrows(ChivevaleException.class, () -> deployment.admin().confirm(stale));
        assertEquals(ResultCode.VERSION_CONFLICT, outdated.code());
        assertEquals(0, status().path("evacuations").size());
    }

    private String deploymentMetrics() {
        try {
            return HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://"
                                                            + deployment.controls().get(0).admin()
                                                            + "/metrics"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    @Test
    void httpRequestsAreRejectedWithTheReasonAndServedAfterTheRestore() {
        String id =
                hotel.post(
                                TestDeployments.proxyAddress(deployment, 0),
                                "/v1/databases/" + TestDeployments.DATABASE + "/transactions",
                                CallerClient.MAPPER.createObjectNode().put("slot", 0))
                        .path("results")
                        .path("transaction")
                        .asText();
        DATA_CENTERS.forEach(dataCenter -> confirm("datacenter-evacuate", dataCenter));
        awaitInForce();
        for (int proxy = 0; proxy < 2; proxy++) {
            for (ObjectNode body : List.of(write("no"), read())) {
                JsonNode rejected = request(proxy, body);
                assertEquals(ENDPOINT_MISSING, rejected.path("code").asInt(), rejected.toString());
                assertEquals("not-run", rejected.path("outcome").asText());
                assertTrue(
                        rejected.path("message").asText().contains("evacuated data centres"),
                        rejected.toString());
            }
        }
        Deployment.await("the end of the transaction", () -> hasEndedWithReason(id));
        DATA_CENTERS.forEach(dataCenter -> confirm("datacenter-restore", dataCenter));
        Deployment.await(
                "a write after the restore",
                () -> request(1, write("yes")).path("code").asInt(-1) == 0);
        assertEquals(0, request(0, read()).path("code").asInt(-1));
    }

    private boolean hasEndedWithReason(String id) {
        JsonNode step =
                hotel.post(
                        TestDeployments.proxyAddress(deployment, 1),
                        "/v1/transactions/" + id + "/statements",
                        CallerClient.createBody("SELECT 1"));
        return step.path("code").asInt() == ResultCode.TRANSACTION_GONE.number()
                && step.path("message").asText().contains("is evacuated");
    }
}
