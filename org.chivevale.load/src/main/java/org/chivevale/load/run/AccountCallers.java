package org.chivevale.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.request.RequestIds;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.check.History;
import org.chivevale.load.check.ReadEvent;
import org.chivevale.load.check.WriteEvent;
import org.chivevale.load.check.WriteEvent.WriteOutcome;

/**
 * Generates the requests of one client account.
 *
 * <p>Each session has one request in flight at a time, sent to a random proxy with the session's
 * last token. A write keeps its request id over all retries. Used on the event loop of the run.
 */
final class AccountCallers {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long RESPONSE_GRACE_MILLIS = 1000;
    private static final long RETRY_DELAY_MILLIS = 5;
    private static final int NO_RESPONSE = -1;
    private static final String WRITE_SQL =
            "INSERT INTO load_row (session, sequence, note) VALUES ($1, $2, $3)";
    private static final String READ_SQL =
            "SELECT max(sequence), $2::varchar FROM load_row WHERE session = $1";

    private final LoadPlan plan;
    private final LoadPlan.AccountLoad account;
    private final Vertx vertx;
    private final HttpClient client;
    private final History history;
    private final WriteGaps writeGaps;
    private final AccountResult result;
    private final SplittableRandom random;
    private final RequestPacer pacer;
    private final List<Integer> weightedProxies = new ArrayList<>();
    private final Deque<Session> idleSessions = new ArrayDeque<>();
    private final Map<String, Integer> sessionSlots = new LinkedHashMap<>();
    private final Deque<Long> overdueNanos = new ArrayDeque<>();
    private final Deque<Operation> retries = new ArrayDeque<>();
    private int inFlight;

    private static final class Session {
        final String name;
        final int slot;
        String token = "";
        long sequence;
        long order;
        boolean isRestarted;

        Session(String name, int slot) {
            this.name = name;
            this.slot = slot;
        }
    }

    /** One request with all its retries. */
    private static final class Operation {
        final Session session;
        final boolean isWrite;
        final boolean isAged;
        final ObjectNode body;
        final long dueNanos;
        final String nonce;
        long startNanos;
        long attemptNanos;
        boolean mayHaveRun;

        Operation(
                Session session,
                boolean isWrite,
                boolean isAged,
                ObjectNode body,
                long dueNanos,
                String nonce) {
            this.session = session;
            this.isWrite = isWrite;
            this.isAged = isAged;
            this.body = body;
            this.dueNanos = dueNanos;
            this.nonce = nonce;
        }
    }

    AccountCallers(
            LoadPlan plan,
            LoadPlan.AccountLoad account,
            Vertx vertx,
            HttpClient client,
            History history,
            WriteGaps writeGaps,
            AccountResult result,
            SplittableRandom random,
            long nowNanos) {
        this.plan = plan;
        this.account = account;
        this.vertx = vertx;
        this.client = client;
        this.history = history;
        this.writeGaps = writeGaps;
        this.result = result;
        this.random = random;
        this.pacer = new RequestPacer(account, random.split(), nowNanos);
        for (int proxy = 0; proxy < plan.proxies().size(); proxy++) {
            int weight = plan.proxyWeights().isEmpty() ? 1 : plan.proxyWeights().get(proxy);
            for (int i = 0; i < weight; i++) {
                weightedProxies.add(proxy);
            }
        }
        for (int i = 0; i < account.sessions(); i++) {
            String name = account.name() + "-" + Long.toHexString(plan.seed()) + "-" + i;
            Session session = new Session(name, i % plan.slots());
            idleSessions.add(session);
            sessionSlots.put(name, session.slot);
        }
    }

    Map<String, Integer> sessionSlots() {
        return sessionSlots;
    }

    boolean isIdle() {
        return inFlight == 0;
    }

    void tick(long nowNanos, boolean sending) {
        while (!retries.isEmpty() && pacer.tryTakeToken(nowNanos)) {
            sendAttempt(retries.removeFirst());
        }
        if (!sending) {
            overdueNanos.clear();
            return;
        }
        long dueNanos = pacer.pollDueNanos(nowNanos);
        while (dueNanos >= 0) {
            overdueNanos.addLast(dueNanos);
            dueNanos = pacer.pollDueNanos(nowNanos);
        }
        while (!overdueNanos.isEmpty() && !idleSessions.isEmpty()) {
            startOperation(idleSessions.removeFirst(), overdueNanos.removeFirst());
        }
    }

    private void startOperation(Session session, long dueNanos) {
        double choice = random.nextDouble();
        boolean isWrite = choice < plan.mix().writes();
        boolean isAged = !isWrite && choice < plan.mix().writes() + plan.mix().agedReads();
        String nonce = Long.toHexString(random.nextLong());
        session.order++;
        Operation operation =
                isWrite
                        ? new Operation(
                                session, true, false, writeBody(session, nonce), dueNanos, nonce)
                        : new Operation(
                                session,
                                false,
                                isAged,
                                readBody(session, isAged, nonce),
                                dueNanos,
                                nonce);
        operation.startNanos = System.nanoTime();
        inFlight++;
        if (isWrite) {
            writeGaps.recordSent(session.slot, operation.startNanos);
        }
        sendAttempt(operation);
    }

    private ObjectNode writeBody(Session session, String nonce) {
        session.sequence++;
        ObjectNode body = requestBody(session, WRITE_SQL);
        addParameters(body).add(session.name).add(session.sequence).add(nonce);
        body.put("repeatable", false);
        body.put(
                "request_id",
                RequestIds.make(System.currentTimeMillis(), random.nextLong(), random.nextLong()));
        return body;
    }

    private ObjectNode readBody(Session session, boolean isAged, String nonce) {
        ObjectNode body = requestBody(session, READ_SQL);
        addParameters(body).add(session.name).add(nonce);
        if (isAged) {
            body.put("accepted_age_ms", plan.mix().acceptedAgeMillis());
        }
        return body;
    }

    private static ArrayNode addParameters(ObjectNode body) {
        return ((ObjectNode) body.path("statements").get(0)).putArray("parameters");
    }

    private ObjectNode requestBody(Session session, String sql) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("slot", session.slot);
        body.put("deadline_ms", plan.deadlineMillis());
        body.putArray("statements").addObject().put("sql", sql);
        return body;
    }

    private void sendAttempt(Operation operation) {
        operation.attemptNanos = System.nanoTime();
        if (operation.session.token.isEmpty()) {
            operation.body.remove("session");
        } else {
            operation.body.put("session", operation.session.token);
        }
        send(operation)
                .timeout(plan.deadlineMillis() + RESPONSE_GRACE_MILLIS, TimeUnit.MILLISECONDS)
                .onComplete(
                        attempt ->
                                handleResponse(
                                        operation, attempt.succeeded() ? attempt.result() : null));
    }

    private Future<JsonNode> send(Operation operation) {
        int proxy = weightedProxies.get(random.nextInt(weightedProxies.size()));
        HostPort address = plan.proxies().get(proxy);
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI("/v1/databases/" + plan.database() + "/statements")
                        .putHeader("Authorization", "Bearer " + account.key());
        return client.request(options)
                .compose(request -> request.send(Buffer.buffer(operation.body.toString())))
                .compose(HttpClientResponse::body)
                .map(AccountCallers::parse);
    }

    private static JsonNode parse(Buffer body) {
        try {
            return MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            return null;
        }
    }

    private void handleResponse(Operation operation, JsonNode response) {
        int code = response == null ? NO_RESPONSE : response.path("code").asInt(NO_RESPONSE);
        result.recordCode(code);
        boolean notRun = response != null && response.path("outcome").asText().equals("not-run");
        if (operation.isWrite && !notRun) {
            operation.mayHaveRun = true;
        }
        if (code == ResultCode.RATE_EXCEEDED.number()) {
            handleRateExceeded(operation);
            return;
        }
        updateSessionToken(operation.session, response, code);
        if (code == ResultCode.OK.number()) {
            recordServed(operation, response);
            return;
        }
        long now = System.nanoTime();
        boolean mayRetry =
                now - operation.startNanos < plan.retryMillis() * NANOS_PER_MILLI
                        && (code == NO_RESPONSE || response.path("code").asInt() >= 3000);
        if (mayRetry && code != ResultCode.STATEMENT_FAILED.number()) {
            vertx.setTimer(RETRY_DELAY_MILLIS, ignored -> retries.addLast(operation));
            return;
        }
        recordNotServed(operation);
    }

    private void handleRateExceeded(Operation operation) {
        if (account.withinRate()) {
            result.recordWrongfulRefusal();
        }
        recordNotServed(operation);
    }

    private static void updateSessionToken(Session session, JsonNode response, int code) {
        if (response != null && response.hasNonNull("session")) {
            session.token = response.get("session").asText();
        }
        if (code == ResultCode.SESSION_STATE_LOST.number()) {
            session.token = "";
            session.isRestarted = true;
        }
    }

    private void recordServed(Operation operation, JsonNode response) {
        long now = System.nanoTime();
        long objective = account.objectiveMillis() * NANOS_PER_MILLI / NANOS_PER_MICRO;
        result.recordLatency((now - operation.dueNanos) / NANOS_PER_MICRO, objective);
        Session session = operation.session;
        if (operation.isWrite) {
            history.add(writeEvent(operation, WriteOutcome.ACKNOWLEDGED, now));
            writeGaps.recordEnd(session.slot, true, now);
        } else {
            JsonNode row = response.path("results").path(0).path("rows").path(0);
            result.recordRead(
                    operation.isAged, response.path("served_by").asText().equals("replica"));
            history.add(
                    new ReadEvent(
                            session.name,
                            session.order,
                            operation.isAged
                                    ? plan.mix().acceptedAgeMillis() * NANOS_PER_MILLI
                                    : ReadEvent.SESSION_READ,
                            row.path(0).asLong(0),
                            row.path(1).asText().equals(operation.nonce),
                            operation.attemptNanos,
                            now,
                            session.isRestarted));
            session.isRestarted = false;
        }
        finish(operation);
    }

    private void recordNotServed(Operation operation) {
        long now = System.nanoTime();
        if (account.withinRate()) {
            result.recordNotServed();
        }
        if (operation.isWrite) {
            WriteOutcome outcome =
                    operation.mayHaveRun ? WriteOutcome.UNKNOWN : WriteOutcome.NOT_RUN;
            if (outcome == WriteOutcome.UNKNOWN) {
                result.recordUnknownWrite();
            }
            history.add(writeEvent(operation, outcome, now));
            writeGaps.recordEnd(operation.session.slot, false, now);
        }
        finish(operation);
    }

    private static WriteEvent writeEvent(Operation operation, WriteOutcome outcome, long nowNanos) {
        long sequence =
                operation.body.path("statements").path(0).path("parameters").path(1).asLong();
        return new WriteEvent(
                operation.session.name, sequence, outcome, operation.startNanos, nowNanos);
    }

    private void finish(Operation operation) {
        inFlight--;
        idleSessions.addLast(operation.session);
    }
}
