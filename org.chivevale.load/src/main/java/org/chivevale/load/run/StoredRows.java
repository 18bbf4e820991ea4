package org.chivevale.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.check.StoredRow;

/**
 * Makes the table that the load writes, and reads what is in it at the end.
 *
 * <p>Used by one thread.
 */
public final class StoredRows {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int TRIES = 200;
    private static final long PAUSE_MILLIS = 50;
    private static final int PAGE_ROWS = 2000;
    private static final String DUPLICATE_TABLE = "42P07";
    private static final String CREATE_SQL =
            "CREATE TABLE load_row (session varchar(64), sequence bigint, note varchar(32))";
    private static final String INDEX_SQL =
            "CREATE INDEX load_row_session ON load_row (session, sequence)";
    private static final String READ_SQL =
            "SELECT sequence, count(*) FROM load_row WHERE session = $1 AND sequence > $2"
                    + " GROUP BY sequence ORDER BY sequence LIMIT 2000";

    private final LoadPlan plan;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /**
     * Describes the table of a run.
     *
     * @param plan the run
     */
    public StoredRows(LoadPlan plan) {
        this.plan = plan;
    }

    /** Makes the table for each client account in each slot. */
    public void create() {
        for (LoadPlan.AccountLoad account : plan.accounts()) {
            for (int slot = 0; slot < plan.slots(); slot++) {
                call(account, slot, CREATE_SQL, List.of());
                call(account, slot, INDEX_SQL, List.of());
            }
        }
    }

    /**
     * Reads what the sessions have written, from primaries.
     *
     * @param sessionSlots the slot of each session
     * @return how often each write is there
     */
    public List<StoredRow> read(Map<String, Integer> sessionSlots) {
        List<StoredRow> rows = new ArrayList<>();
        for (LoadPlan.AccountLoad account : plan.accounts()) {
            sessionSlots.forEach(
                    (session, slot) -> {
                        if (session.startsWith(account.name() + "-")) {
                            read(account, session, slot, rows);
                        }
                    });
        }
        return rows;
    }

    private void read(
            LoadPlan.AccountLoad account, String session, int slot, List<StoredRow> rows) {
        long after = 0;
        int got = PAGE_ROWS;
        while (got == PAGE_ROWS) {
            JsonNode page =
                    call(account, slot, READ_SQL, List.of(session, after))
                            .path("results")
                            .path(0)
                            .path("rows");
            got = page.size();
            for (JsonNode row : page) {
                after = row.path(0).asLong();
                rows.add(new StoredRow(session, after, row.path(1).asLong()));
            }
        }
    }

    private JsonNode call(
            LoadPlan.AccountLoad account, int slot, String sql, List<Object> parameters) {
        ObjectNode body = MAPPER.createObjectNode().put("slot", slot);
        ObjectNode statement = body.putArray("statements").addObject().put("sql", sql);
        statement.set("parameters", MAPPER.valueToTree(parameters));
        JsonNode last = null;
        for (int i = 0; i < TRIES; i++) {
            HostPort proxy = plan.proxies().get(i % plan.proxies().size());
            last = post(proxy, account, body);
            boolean thereAlready = last.path("sqlstate").asText().equals(DUPLICATE_TABLE);
            if (last.path("code").asInt(-1) == 0 || thereAlready) {
                return last;
            }
            pause();
        }
        throw new IllegalStateException(sql + ": " + last);
    }

    private JsonNode post(HostPort proxy, LoadPlan.AccountLoad account, ObjectNode body) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + proxy
                                                + "/v1/databases/"
                                                + plan.database()
                                                + "/statements"))
                        .timeout(Duration.ofSeconds(15))
                        .header("Authorization", "Bearer " + account.key())
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build();
        try {
            return MAPPER.readTree(http.send(request, HttpResponse.BodyHandlers.ofString()).body());
        } catch (IOException e) {
            return MAPPER.createObjectNode().put("message", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
