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
import org.chivevale.load.check.WriteEvent.Seen;

/**
 * The callers of one client account.
 *
 * <p>Each session sends one request at a time, to any proxy, and passes its token on. A write keeps
 * its request id over all repeats. Used on the event loop of the run.
 */
final class AccountCallers {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long ANSWER_GRACE_MILLIS = 1000;
    private static final long REPEAT_PAUSE_MILLIS = 5;
    private static final int NO_ANSWER = -1;
    private static final String WRITE_SQL =
            "INSERT INTO load_row (session, sequence, note) VALUES ($1, $2, $3)";
    private static final String READ_SQL =
            "SELECT max(sequence), $2::varchar FROM load_row WHERE session = $1";

    private final LoadPlan plan;
    private final LoadPlan.AccountLoad account;
    private final Vertx vertx;
    private final HttpClient client;
    private final History history;
    private final WriteGaps gaps;
    private final AccountResult result;
    private final SplittableRandom random;
    private final Pace pace;
    private final List<Integer> proxyChoices = new ArrayList<>();
    private final Deque<Session> idleSessions = new ArrayDeque<>();
    private final Map<String, Integer> sessionSlots = new LinkedHashMap<>();
    private final Deque<Long> backlog = new ArrayDeque<>();
    private final Deque<Operation> repeats = new ArrayDeque<>();
    private int running;

    private static final class Session {
        final String name;
        final int slot;
        String token = "";
        long sequence;
        long order;
        boolean renewed;

        Session(String name, int slot) {
            this.name = name;
            this.slot = slot;
        }
    }

    /** One request with all its repeats. */
    private static final class Operation {
        final Session session;
        final boolean write;
        final boolean aged;
        final ObjectNode body;
        final long dueNanos;
        final String nonce;
        long startNanos;
        long attemptNanos;
        boolean maybeRan;

        Operation(
                Session session,
                boolean write,
                boolean aged,
                ObjectNode body,
                long dueNanos,
                String nonce) {
            this.session = session;
            this.write = write;
            this.aged = aged;
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
            WriteGaps gaps,
            AccountResult result,
            SplittableRandom random,
            long nowNanos) {
        this.plan = plan;
        this.account = account;
        this.vertx = vertx;
        this.client = client;
        this.history = history;
        this.gaps = gaps;
        this.result = result;
        this.random = random;
        this.pace = new Pace(account, random.split(), nowNanos);
        for (int proxy = 0; proxy < plan.proxies().size(); proxy++) {
            int weight = plan.proxyWeights().isEmpty() ? 1 : plan.proxyWeights().get(proxy);
            for (int i = 0; i < weight; i++) {
                proxyChoices.add(proxy);
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

    boolean idle() {
        return running == 0;
    }

    void tick(long nowNanos, boolean sending) {
        while (!repeats.isEmpty() && pace.takeToken(nowNanos)) {
            attempt(repeats.removeFirst());
        }
        if (!sending) {
            backlog.clear();
            return;
        }
        long due = pace.nextDue(nowNanos);
        while (due >= 0) {
            backlog.addLast(due);
            due = pace.nextDue(nowNanos);
        }
        while (!backlog.isEmpty() && !idleSessions.isEmpty()) {
            begin(idleSessions.removeFirst(), backlog.removeFirst());
        }
    }

    private void begin(Session session, long dueNanos) {
        double kind = random.nextDouble();
        boolean write = kind < plan.mix().writes();
        boolean aged = !write && kind < plan.mix().writes() + plan.mix().agedReads();
        String nonce = Long.toHexString(random.nextLong());
        session.order++;
        Operation operation =
                write
                        ? new Operation(
                                session, true, false, writeBody(session, nonce), dueNanos, nonce)
                        : new Operation(
                                session,
                                false,
                                aged,
                                readBody(session, aged, nonce),
                                dueNanos,
                                nonce);
        operation.startNanos = System.nanoTime();
        running++;
        if (write) {
            gaps.sent(session.slot, operation.startNanos);
        }
        attempt(operation);
    }

    private ObjectNode writeBody(Session session, String nonce) {
        session.sequence++;
        ObjectNode body = body(session, WRITE_SQL);
        parameters(body).add(session.name).add(session.sequence).add(nonce);
        body.put("repeatable", false);
        body.put(
                "request_id",
                RequestIds.make(System.currentTimeMillis(), random.nextLong(), random.nextLong()));
        return body;
    }

    private ObjectNode readBody(Session session, boolean aged, String nonce) {
        ObjectNode body = body(session, READ_SQL);
        parameters(body).add(session.name).add(nonce);
        if (aged) {
            body.put("accepted_age_ms", plan.mix().acceptedAgeMillis());
        }
        return body;
    }

    private static ArrayNode parameters(ObjectNode body) {
        return ((ObjectNode) body.path("statements").get(0)).putArray("parameters");
    }

    private ObjectNode body(Session session, String sql) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("slot", session.slot);
        body.put("deadline_ms", plan.deadlineMillis());
        body.putArray("statements").addObject().put("sql", sql);
        return body;
    }

    private void attempt(Operation operation) {
        operation.attemptNanos = System.nanoTime();
        if (operation.session.token.isEmpty()) {
            operation.body.remove("session");
        } else {
            operation.body.put("session", operation.session.token);
        }
        send(operation)
                .timeout(plan.deadlineMillis() + ANSWER_GRACE_MILLIS, TimeUnit.MILLISECONDS)
                .onComplete(
                        ended -> answered(operation, ended.succeeded() ? ended.result() : null));
    }

    private Future<JsonNode> send(Operation operation) {
        int proxy = proxyChoices.get(random.nextInt(proxyChoices.size()));
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

    private void answered(Operation operation, JsonNode answer) {
        int code = answer == null ? NO_ANSWER : answer.path("code").asInt(NO_ANSWER);
        result.code(code);
        boolean notRun = answer != null && answer.path("outcome").asText().equals("not-run");
        if (operation.write && !notRun) {
            operation.maybeRan = true;
        }
        if (code == ResultCode.RATE_EXCEEDED.number()) {
            refusedForRate(operation);
            return;
        }
        takeToken(operation.session, answer, code);
        if (code == ResultCode.OK.number()) {
            served(operation, answer);
            return;
        }
        long now = System.nanoTime();
        boolean mayRepeat =
                now - operation.startNanos < plan.retryMillis() * NANOS_PER_MILLI
                        && (code == NO_ANSWER || answer.path("code").asInt() >= 3000);
        if (mayRepeat && code != ResultCode.STATEMENT_FAILED.number()) {
            vertx.setTimer(REPEAT_PAUSE_MILLIS, ignored -> repeats.addLast(operation));
            return;
        }
        notServed(operation);
    }

    private void refusedForRate(Operation operation) {
        if (account.withinRate()) {
            result.wrongfulRefusal();
        }
        notServed(operation);
    }

    private static void takeToken(Session session, JsonNode answer, int code) {
        if (answer != null && answer.hasNonNull("session")) {
            session.token = answer.get("session").asText();
        }
        if (code == ResultCode.SESSION_STATE_LOST.number()) {
            session.token = "";
            session.renewed = true;
        }
    }

    private void served(Operation operation, JsonNode answer) {
        long now = System.nanoTime();
        long objective = account.objectiveMillis() * NANOS_PER_MILLI / NANOS_PER_MICRO;
        result.latency((now - operation.dueNanos) / NANOS_PER_MICRO, objective);
        Session session = operation.session;
        if (operation.write) {
            history.add(event(operation, Seen.ACKNOWLEDGED, now));
            gaps.ended(session.slot, true, now);
        } else {
            JsonNode row = answer.path("results").path(0).path("rows").path(0);
            result.read(operation.aged, answer.path("served_by").asText().equals("replica"));
            history.add(
                    new ReadEvent(
                            session.name,
                            session.order,
                            operation.aged
                                    ? plan.mix().acceptedAgeMillis() * NANOS_PER_MILLI
                                    : ReadEvent.SESSION_READ,
                            row.path(0).asLong(0),
                            row.path(1).asText().equals(operation.nonce),
                            operation.attemptNanos,
                            now,
                            session.renewed));
            session.renewed = false;
        }
        end(operation);
    }

    private void notServed(Operation operation) {
        long now = System.nanoTime();
        if (account.withinRate()) {
            result.notServed();
        }
        if (operation.write) {
            Seen seen = operation.maybeRan ? Seen.UNKNOWN : Seen.NOT_RUN;
            if (seen == Seen.UNKNOWN) {
                result.unknown();
            }
            history.add(event(operation, seen, now));
            gaps.ended(operation.session.slot, false, now);
        }
        end(operation);
    }

    private static WriteEvent event(Operation operation, Seen seen, long nowNanos) {
        long sequence =
                operation.body.path("statements").path(0).path("parameters").path(1).asLong();
        return new WriteEvent(
                operation.session.name, sequence, seen, operation.startNanos, nowNanos);
    }

    private void end(Operation operation) {
        running--;
        idleSessions.addLast(operation.session);
    }
}
