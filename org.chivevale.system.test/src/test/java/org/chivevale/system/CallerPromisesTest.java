package org.chivevale.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.Deployment;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** What callers are promised, with real processes and no faults. */
class CallerPromisesTest {
    private static final String DB = SharedDeployment.DATABASE;

    private static Path folder;
    private static Deployment deployment;
    private static CallerClient hotel;
    private static CallerClient bakery;

    @BeforeAll
    static void start() {
        folder = SharedDeployment.newFolder();
        deployment =
                SharedDeployment.start(
                        new Deployment(
                                SharedDeployment.plan(
                                        3,
                                        2,
                                        "limits.rows = 50",
                                        "limits.body_bytes = 20000",
                                        "limits.statement_bytes = 10000",
                                        "timing.transaction_ms = 3000",
                                        "timing.transaction_idle_ms = 1000"),
                                folder));
        hotel = new CallerClient(deployment.key("hotel"));
        bakery = new CallerClient(deployment.key("bakery"));
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    private static HostPort proxy(int index) {
        return SharedDeployment.proxy(deployment, index);
    }

    private static JsonNode insert(CallerClient caller, int proxy, String id) {
        return caller.statements(
                proxy(proxy),
                DB,
                CallerClient.write(0, "INSERT INTO pickup VALUES ($1, $2, $3)", id, "kitchen", 1));
    }

    private static ObjectNode select(String id) {
        return CallerClient.body("SELECT count(*) FROM pickup WHERE id = $1", id).put("slot", 0);
    }

    private static int code(JsonNode answer) {
        return answer.path("code").asInt(-1);
    }

    private static int number(JsonNode answer) {
        assertEquals(0, code(answer), answer.toString());
        return answer.path("results").path(0).path("rows").path(0).path(0).asInt(-1);
    }

    @Test
    void aSessionReadsItsOwnWritesThroughAnyProxy() {
        String session = "";
        for (int i = 0; i < 30; i++) {
            JsonNode written = insert(hotel, i % 3, "ryw-" + i);
            assertEquals("ran", written.path("outcome").asText(), written.toString());
            session = written.path("session").asText();
            JsonNode read =
                    hotel.statements(
                            proxy((i + 1) % 3), DB, select("ryw-" + i).put("session", session));
            assertEquals(1, number(read), read.toString());
        }
        assertFalse(session.isEmpty());
    }

    @Test
    void aForgedCutOrForeignTokenIsRefused() {
        String token = insert(hotel, 0, "token").path("session").asText();
        String forged = (token.charAt(0) == 'A' ? 'B' : 'A') + token.substring(1);
        for (String wrong :
                List.of(forged, token.substring(0, token.length() - 4), "%%%", "AAAA")) {
            JsonNode answer = hotel.statements(proxy(0), DB, select("token").put("session", wrong));
            assertEquals(1005, code(answer), answer.toString());
            assertEquals("not-run", answer.path("outcome").asText());
        }
        JsonNode foreign = bakery.statements(proxy(0), DB, select("token").put("session", token));
        assertEquals(1005, code(foreign), foreign.toString());
    }

    @Test
    void aRequestThatIsNotRepeatableRunsOnceWhicheverProxyGetsIt() {
        ObjectNode body =
                CallerClient.write(0, "INSERT INTO pickup VALUES ('once', 'kitchen', $1)", 7);
        JsonNode first = hotel.statements(proxy(0), DB, body);
        assertEquals(0, code(first), first.toString());
        for (int i = 1; i < 6; i++) {
            JsonNode again = hotel.statements(proxy(i % 3), DB, body);
            assertEquals(first.path("results"), again.path("results"), again.toString());
            assertTrue(again.path("repeated").asBoolean(), again.toString());
        }
        assertEquals(1, number(hotel.statements(proxy(1), DB, select("once"))));
    }

    @Test
    void repeatsThatArriveTogetherRunOnce() {
        ObjectNode body =
                CallerClient.write(0, "INSERT INTO pickup VALUES ('together', 'kitchen', 1)");
        List<CompletableFuture<JsonNode>> calls =
                IntStream.range(0, 12)
                        .mapToObj(
                                i ->
                                        CompletableFuture.supplyAsync(
                                                () -> hotel.statements(proxy(i % 3), DB, body)))
                        .toList();
        calls.forEach(call -> assertEquals(0, code(call.join()), call.join().toString()));
        long first =
                calls.stream().filter(call -> !call.join().path("repeated").asBoolean()).count();
        assertEquals(1, first);
        assertEquals(1, number(hotel.statements(proxy(1), DB, select("together"))));
    }

    @Test
    void aRepeatWithAnotherBodyIsAnError() {
        ObjectNode body =
                CallerClient.write(0, "INSERT INTO pickup VALUES ('b', 'kitchen', $1)", 1);
        assertEquals(0, code(hotel.statements(proxy(0), DB, body)));
        ObjectNode other =
                CallerClient.write(0, "INSERT INTO pickup VALUES ('b', 'kitchen', $1)", 2);
        other.put("request_id", body.path("request_id").asText());
        JsonNode answer = hotel.statements(proxy(1), DB, other);
        assertEquals(1008, code(answer), answer.toString());
        assertEquals("not-run", answer.path("outcome").asText());
    }

    @Test
    void theSameRequestIdOfTwoClientAccountsNeverMeets() {
        ObjectNode body = CallerClient.write(0, "INSERT INTO pickup VALUES ('two', 'kitchen', 1)");
        assertEquals(0, code(hotel.statements(proxy(0), DB, body)));
        JsonNode other = bakery.statements(proxy(0), DB, body);
        assertEquals(0, code(other), other.toString());
        assertFalse(other.path("repeated").asBoolean());
        assertEquals(1, number(bakery.statements(proxy(0), DB, select("two"))));
    }

    @Test
    void requestIdsAreChecked() {
        ObjectNode none =
                CallerClient.body("INSERT INTO pickup VALUES ('n', 'k', 1)").put("slot", 0);
        assertEquals(1009, code(hotel.statements(proxy(0), DB, none)));
        assertEquals(
                1006, code(hotel.statements(proxy(0), DB, none.deepCopy().put("request_id", "x"))));
        ObjectNode old = none.deepCopy();
        old.put("request_id", org.chivevale.core.request.RequestIds.make(1_000_000, 1, 1));
        assertEquals(1007, code(hotel.statements(proxy(0), DB, old)));
    }

    @Test
    void aTransactionOfSeveralStatementsIsAllOrNothing() {
        ObjectNode body = CallerClient.write(0, "INSERT INTO pickup VALUES ('all-1', 'k', 1)");
        body.withArray("statements").addObject().put("sql", "INSERT INTO nowhere VALUES (1)");
        JsonNode answer = hotel.statements(proxy(0), DB, body);
        assertEquals(5001, code(answer), answer.toString());
        assertEquals("42P01", answer.path("sqlstate").asText());
        assertEquals("not-run", answer.path("outcome").asText());
        assertEquals(0, number(hotel.statements(proxy(0), DB, select("all-1"))));
    }

    @Test
    void missingAndUnknownKeysAreRefused() {
        JsonNode none = new CallerClient(null).statements(proxy(0), DB, select("x"));
        assertEquals(2001, code(none), none.toString());
        String wrong =
                deployment.key("hotel").substring(0, 20) + "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";
        assertEquals(2002, code(new CallerClient(wrong).statements(proxy(0), DB, select("x"))));
        assertEquals(
                2002, code(new CallerClient("nonsense").statements(proxy(0), DB, select("x"))));
    }

    @Test
    void aClientAccountCannotReachAnothersDataThroughSql() {
        assertEquals(0, code(insert(bakery, 0, "secret")));
        List<String> attempts =
                List.of(
                        "SELECT * FROM bakery.pickup",
                        "SELECT * FROM \"bakery\".\"pickup\"",
                        "SELECT (SELECT max(id) FROM bakery.pickup)",
                        "SELECT 1; SELECT * FROM bakery.pickup",
                        "SELECT * FROM chivevale.request",
                        "SELECT set_config('role', 'bakery', false)",
                        "SET ROLE bakery",
                        "/* x */ SET ROLE bakery",
                        "RESET ROLE",
                        "SET search_path TO bakery",
                        "BEGIN",
                        "COMMIT",
                        "SHOW ALL",
                        "CALL foo()",
                        "DO $$ BEGIN END $$",
                        "COPY pickup TO '/tmp/x'",
                        "SELECT file_read('/etc/passwd')",
                        "SELECT pg_promote()",
                        "SELECT chivevale_sys.pg_promote()",
                        "TABLE bakery.pickup",
                        "GRANT ALL ON SCHEMA hotel TO bakery",
                        "CREATE USER x",
                        "CREATE ALIAS x FOR 'java.lang.System.exit'",
                        "SELECT * FROM csvread('/etc/passwd')");
        for (String sql : attempts) {
            JsonNode answer = hotel.statements(proxy(0), DB, CallerClient.body(sql).put("slot", 0));
            assertTrue(code(answer) == 1010 || code(answer) == 5001, sql + " -> " + answer);
        }
        List<String> writes =
                List.of(
                        "INSERT INTO bakery.pickup VALUES ('x', 'x', 1)",
                        "UPDATE bakery.pickup SET bags = 0",
                        "DELETE FROM bakery.pickup",
                        "INSERT INTO chivevale.request VALUES ('bakery', 'x', 'x', 0, 1, '')",
                        "UPDATE chivevale.request SET account = 'hotel'",
                        "INSERT INTO pickup SELECT * FROM bakery.pickup");
        for (String sql : writes) {
            JsonNode answer = hotel.statements(proxy(0), DB, CallerClient.write(0, sql));
            assertEquals(5001, code(answer), sql + " -> " + answer);
        }
        JsonNode schema =
                hotel.statements(
                        proxy(0), DB, CallerClient.body("DROP TABLE bakery.pickup").put("slot", 0));
        assertEquals(5001, code(schema), schema.toString());
        assertEquals(1, number(bakery.statements(proxy(0), DB, select("secret"))));
    }

    @Test
    void aClientAccountWithoutAccessSeesNoDatabase() {
        JsonNode unknown = hotel.statements(proxy(0), "elsewhere", select("x"));
        assertEquals(1003, code(unknown), unknown.toString());
        JsonNode slot = hotel.statements(proxy(0), DB, select("x").put("slot", 9));
        assertEquals(1004, code(slot), slot.toString());
    }

    @Test
    void anInteractiveTransactionRoamsBetweenProxies() {
        String id = begin(hotel, 0);
        String path = "/v1/transactions/" + id;
        ObjectNode write = CallerClient.body("INSERT INTO pickup VALUES ('roam', 'k', $1)", 3);
        assertEquals(0, code(hotel.post(proxy(1), path + "/statements", write)));
        JsonNode inside = hotel.post(proxy(2), path + "/statements", select2("roam"));
        assertEquals(1, number(inside), inside.toString());
        assertEquals(0, number(hotel.statements(proxy(0), DB, select("roam"))));
        JsonNode committed =
                hotel.post(proxy(1), path + "/commit", CallerClient.MAPPER.createObjectNode());
        assertEquals("ran", committed.path("outcome").asText(), committed.toString());
        JsonNode read =
                hotel.statements(
                        proxy(2),
                        DB,
                        select("roam").put("session", committed.path("session").asText()));
        assertEquals(1, number(read), read.toString());
        assertEquals(
                4006,
                code(
                        hotel.post(
                                proxy(0),
                                path + "/commit",
                                CallerClient.MAPPER.createObjectNode())));
    }

    private static ObjectNode select2(String id) {
        return CallerClient.body("SELECT count(*) FROM pickup WHERE id = $1", id);
    }

    private static String begin(CallerClient caller, int proxy) {
        JsonNode begun =
                caller.post(
                        proxy(proxy),
                        "/v1/databases/" + DB + "/transactions",
                        CallerClient.MAPPER.createObjectNode().put("slot", 0));
        assertEquals(0, code(begun), begun.toString());
        return begun.path("results").path("transaction").asText();
    }

    @Test
    void aTransactionBelongsToItsClientAccountAndEndsWithItsTimeLimit() {
        String id = begin(hotel, 0);
        String path = "/v1/transactions/" + id;
        ObjectNode write = CallerClient.body("INSERT INTO pickup VALUES ('late', 'k', 1)");
        assertEquals(0, code(hotel.post(proxy(0), path + "/statements", write)));
        assertEquals(4006, code(bakery.post(proxy(0), path + "/statements", select2("late"))));
        assertEquals(
                4006,
                code(
                        bakery.post(
                                proxy(1),
                                path + "/commit",
                                CallerClient.MAPPER.createObjectNode())));
        Deployment.await(
                "the transaction ends",
                () -> code(hotel.post(proxy(1), path + "/statements", select2("late"))) == 4006);
        assertEquals(0, number(hotel.statements(proxy(0), DB, select("late"))));
    }

    @Test
    void aRolledBackTransactionLeavesNothing() {
        String id = begin(hotel, 2);
        String path = "/v1/transactions/" + id;
        ObjectNode write = CallerClient.body("INSERT INTO pickup VALUES ('undone', 'k', 1)");
        assertEquals(0, code(hotel.post(proxy(0), path + "/statements", write)));
        JsonNode undone =
                hotel.post(proxy(0), path + "/rollback", CallerClient.MAPPER.createObjectNode());
        assertEquals("not-run", undone.path("outcome").asText(), undone.toString());
        assertEquals(0, number(hotel.statements(proxy(0), DB, select("undone"))));
    }

    @Test
    void whatACallerCanMakeLargeIsLimited() {
        JsonNode body = hotel.statements(proxy(0), DB, select("x".repeat(30_000)));
        assertEquals(1002, code(body), body.toString());
        JsonNode statement = hotel.statements(proxy(0), DB, select("x".repeat(12_000)));
        assertEquals(1012, code(statement), statement.toString());
        JsonNode rows =
                hotel.statements(
                        proxy(0),
                        DB,
                        CallerClient.body("SELECT * FROM system_range(1, 100000)").put("slot", 0));
        assertEquals(5002, code(rows), rows.toString());
        JsonNode malformed =
                hotel.statements(
                        proxy(0), DB, CallerClient.MAPPER.createObjectNode().put("slot", 0));
        assertEquals(1001, code(malformed), malformed.toString());
        JsonNode misspelt = hotel.statements(proxy(0), DB, select("x").put("sesion", "y"));
        assertEquals(1001, code(misspelt), misspelt.toString());
        assertEquals(0, code(hotel.statements(proxy(0), DB, select("after"))));
    }

    @Test
    void readsOfAStatedAgeGoToReplicas() {
        int replicas = 0;
        for (int i = 0; i < 40; i++) {
            JsonNode read =
                    hotel.statements(proxy(i % 3), DB, select("x").put("accepted_age_ms", 1000));
            assertEquals(0, code(read), read.toString());
            replicas += read.path("served_by").asText().equals("replica") ? 1 : 0;
            assertTrue(read.path("age_ms").asLong(0) <= 1000, read.toString());
        }
        assertTrue(replicas >= 30, replicas + " of 40 reads by replicas");
    }

    @Test
    void anOpenRouteNeedsNoKeyAndNothingElseIsOpen() {
        assertEquals(0, code(insert(hotel, 0, "open-row")));
        deployment
                .admin()
                .planAndConfirm(
                        CallerClient.MAPPER
                                .createObjectNode()
                                .put("kind", "route-open")
                                .put("name", "preview")
                                .put("database", DB)
                                .put("account", "hotel")
                                .put("sql", "SELECT count(*) FROM pickup WHERE id = 'open-row'")
                                .put("accepted_age_ms", 0));
        CallerClient anybody = new CallerClient(null);
        Deployment.await(
                "the route is open",
                () -> code(anybody.get(proxy(1), "/v1/open/preview?slot=0")) == 0);
        assertEquals(1, number(anybody.get(proxy(0), "/v1/open/preview?slot=0")));
        assertEquals(1014, code(anybody.get(proxy(0), "/v1/open/other?slot=0")));
    }

    @Test
    void aWithdrawnKeyStopsOnOpenConnectionsAndInOpenTransactions() {
        String key = deployment.createKey("hotel");
        String keyId = key.split("_")[1];
        CallerClient caller = new CallerClient(key);
        Deployment.await(
                "the key works", () -> code(caller.statements(proxy(0), DB, select("x"))) == 0);
        Deployment.await(
                "the key works", () -> code(caller.statements(proxy(1), DB, select("x"))) == 0);
        String id = begin(caller, 0);
        deployment
                .admin()
                .planAndConfirm(
                        CallerClient.MAPPER
                                .createObjectNode()
                                .put("kind", "key-withdraw")
                                .put("key_id", keyId));
        Deployment.await(
                "the key is refused",
                () ->
                        code(caller.statements(proxy(0), DB, select("x"))) == 2002
                                && code(caller.statements(proxy(1), DB, select("x"))) == 2002);
        assertEquals(
                2002,
                code(
                        caller.post(
                                proxy(0),
                                "/v1/transactions/" + id + "/commit",
                                CallerClient.MAPPER.createObjectNode())));
        Deployment.await(
                "the transaction is rolled back",
                () ->
                        code(
                                        hotel.post(
                                                proxy(0),
                                                "/v1/transactions/" + id + "/commit",
                                                CallerClient.MAPPER.createObjectNode()))
                                == 4006);
    }

    @Test
    void noKeyIsInAnyLogOrDataFolder() throws IOException {
        String secret = deployment.key("hotel").split("_", 3)[2];
        hotel.statements(proxy(0), DB, select("x"));
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                String text =
                        new String(
                                Files.readAllBytes(file),
                                java.nio.charset.StandardCharsets.ISO_8859_1);
                assertFalse(text.contains(secret), file.toString());
            }
        }
    }
}
