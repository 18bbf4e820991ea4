package org.chivevale.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.Deployment;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Limits a client account of the HTTP interface to regions. The primary of slot 0 and proxy 0 are
 * in muscat, proxy 1 is in sohar, proxy 2 in salalah. Guards against a request that runs, or whose
 * text is sent, outside of the regions of its account.
 */
class CallerRegionsTest {
    private static final int NOT_ALLOWED = 2006;
    private static final int DEADLINE_MILLIS = 30_000;

    private static Deployment deployment;
    private static CallerClient hotel;

    @BeforeAll
    static void start() {
        deployment =
                TestDeployments.start(
                        new Deployment(
                                TestDeployments.createPlan(3, 1),
                                TestDeployments.createTempFolder()));
        hotel = new CallerClient(deployment.key("hotel"));
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    private static HostPort proxy(int index) {
        return TestDeployments.proxyAddress(deployment, index);
    }

    private static void allow(List<String> regions) {
        ObjectNode intent =
                CallerClient.MAPPER
                        .createObjectNode()
                        .put("kind", "account-change")
                        .put("account", "hotel");
        regions.forEach(intent.putArray("allowed_regions")::add);
        deployment.admin().planAndConfirm(intent);
    }

    private static JsonNode write(int proxy, String id) {
        return hotel.postStatements(
                proxy(proxy),
                TestDeployments.DATABASE,
                CallerClient.createWriteBody(
                        0, "INSERT INTO pickup VALUES ($1, $2, $3)", id, "kitchen", 1));
    }

    private static JsonNode readAged(int proxy) {
        return hotel.postStatements(
                proxy(proxy),
                TestDeployments.DATABASE,
                CallerClient.createBody("SELECT count(*) FROM pickup")
                        .put("slot", 0)
                        .put("accepted_age_ms", 60_000));
    }

    private static int codeOf(JsonNode response) {
        return response.path("code").asInt(-1);
    }

    private static void await(String what, BooleanSupplier condition) throws Exception {
        long endMillis = System.currentTimeMillis() + DEADLINE_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.currentTimeMillis() < endMillis, "timed out waiting for " + what);
            Thread.sleep(20);
        }
    }

    private static void awaitCode(int proxy, int code) throws Exception {
        await("code " + code, () -> codeOf(write(proxy, "wait" + System.nanoTime())) == code);
    }

    @Test
    void writesOutsideTheAllowedRegionsAreRejectedAndReadsRunInsideThem() throws Exception {
        allow(List.of("sohar", "salalah"));
        for (int i = 0; i < 3; i++) {
            awaitCode(i, NOT_ALLOWED);
            int proxy = i;
            await(
                    "a read at a replica",
                    () -> readAged(proxy).path("served_by").asText().equals("replica"));
        }
        JsonNode rejected = write(1, "never");
        assertEquals("not-run", rejected.path("outcome").asText(), rejected.toString());
        assertTrue(rejected.path("message").asText().contains("muscat"), rejected.toString());
        allow(List.of("nowhere"));
        await("no region", () -> codeOf(readAged(0)) == NOT_ALLOWED);
        allow(List.of());
        for (int i = 0; i < 3; i++) {
            awaitCode(i, 0);
        }
    }

    @Test
    void aStepOfATransactionIsNotForwardedOutOfTheAllowedRegions() throws Exception {
        allow(List.of("muscat"));
        for (int i = 0; i < 3; i++) {
            awaitCode(i, 0);
            int proxy = i;
            await("reads in muscat only", () -> codeOf(readAged(proxy)) == 0);
        }
        JsonNode begun =
                hotel.post(
                        proxy(1),
                        "/v1/databases/" + TestDeployments.DATABASE + "/transactions",
                        CallerClient.MAPPER.createObjectNode().put("slot", 0));
        assertEquals(0, codeOf(begun), begun.toString());
        String path = "/v1/transactions/" + begun.path("results").path("transaction").asText();
        ObjectNode step = CallerClient.createBody("INSERT INTO pickup VALUES ('step', 'k', 1)");
        await(
                "the rejection of a step from salalah to sohar",
                () -> codeOf(hotel.post(proxy(2), path + "/statements", step)) == NOT_ALLOWED);
        assertEquals(0, codeOf(hotel.post(proxy(1), path + "/statements", step)));
        JsonNode committed =
                hotel.post(proxy(1), path + "/commit", CallerClient.MAPPER.createObjectNode());
        assertEquals("ran", committed.path("outcome").asText(), committed.toString());
        allow(List.of());
    }
}
