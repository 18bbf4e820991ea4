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
 * Creates the table that the load writes to, and reads its rows after the run.
 *
 * <p>Used by one thread.
 */
public final class StoredRows {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ATTEMPTS = 200;
    private static final long RETRY_DELAY_MILLIS = 50;
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
     * Describes the table of a run; {@link #create} creates it.
     *
     * @param plan the parameters of the run
     */
    public StoredRows(LoadPlan plan) {
        this.plan = plan;
    }

    /** Creates the table and its index for each client account in each slot, unless they exist. */
    public void create() {
        for (LoadPlan.AccountLoad account : plan.accounts()) {
            for (int slot = 0; slot < plan.slots(); slot++) {
                execute(account, slot, CREATE_SQL, List.of());
                execute(account, slot, INDEX_SQL, List.of());
            }
        }
    }

    /**
     * Reads the rows that sessions have written, from primaries.
     *
     * @param sessionSlots slots by session name
     * @return the number of rows of each write
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
        long lastSequence = 0;
        int rowsInPage = PAGE_ROWS;
        while (rowsInPage == PAGE_ROWS) {
            JsonNode page =
                    execute(account, slot, READ_SQL, List.of(session, lastSequence))
                            .path("results")
                            .path(0)
                            .path("rows");
            rowsInPage = page.size();
            for (JsonNode row : page) {
                lastSequence = row.path(0).asLong();
                rows.add(new StoredRow(session, lastSequence, row.path(1).asLong()));
            }
        }
    }

    private JsonNode execute(
            LoadPlan.AccountLoad account, int slot, String sql, List<Object> parameters) {
        ObjectNode body = MAPPER.createObjectNode().put("slot", slot);
        ObjectNode statement = body.putArray("statements").addObject().put("sql", sql);
        statement.set("parameters", MAPPER.valueToTree(parameters));
        JsonNode lastResponse = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            HostPort proxy = plan.proxies().get(i % plan.proxies().size());
            lastResponse = post(proxy, account, body);
            boolean alreadyExists = lastResponse.path("sqlstate").asText().equals(DUPLICATE_TABLE);
            if (lastResponse.path("code").asInt(-1) == 0 || alreadyExists) {
                return lastResponse;
            }
            sleepBeforeRetry();
        }
        throw new IllegalStateException(sql + ": " + lastResponse);
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

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
