package org.chivevale.proxy.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.OpenRoute;
import org.chivevale.core.config.StoredKey;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.ProcessLifetime;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.session.SessionToken;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.database.Statement;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.rate.RateLimiter;
import org.chivevale.proxy.internal.request.AnswerWriter;
import org.chivevale.proxy.internal.request.CallerAnswer;
import org.chivevale.proxy.internal.request.CallerRequest;
import org.chivevale.proxy.internal.request.ExecutionService;
import org.chivevale.proxy.internal.request.InteractiveSteps;
import org.chivevale.proxy.internal.request.RequestReader;
import org.chivevale.proxy.internal.request.UsageCounters;
import org.chivevale.proxy.internal.transaction.ForwardService;
import org.chivevale.proxy.internal.transaction.TransactionService;
import org.jboss.logging.Logger;

/**
 * The callers' API.
 *
 * <p>Invariants: except on open routes a request runs only for the client account whose key came
 * with it; the key stays in this class; every answer has a code and says whether the request ran.
 * Used on the event loop.
 */
public final class CallerService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "callers";

    private static final Logger LOG = Logger.getLogger(CallerService.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BEARER = "Bearer ";
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int IDLE_SECONDS = 60;
    private static final int DRAIN_POLL_MILLIS = 20;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int OK = 200;

    private final ProxySettings settings;
    private final Directory directory;
    private final RequestReader reader;
    private UsageCounters usage;
    private InteractiveSteps steps;
    private TransactionCalls transactions;
    private EventLoop loop;
    private RateLimiter rates;
    private Metrics metrics;
    private HttpServer server;
    private volatile boolean noticed;
    private volatile boolean draining;
    private volatile int running;
    private int connections;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory knows lease and configuration
     */
    public CallerService(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
        this.reader = new RequestReader(settings, directory.configuration());
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        rates = kernel.find(RateLimiter.NAME, RateLimiter.class);
        ExecutionService execution = kernel.find(ExecutionService.NAME, ExecutionService.class);
        steps = execution.steps();
        usage = execution.usage();
        transactions =
                new TransactionCalls(
                        settings,
                        kernel.find(TransactionService.NAME, TransactionService.class),
                        kernel.find(ForwardService.NAME, ForwardService.class));
        metrics = kernel.find(Metrics.NAME, Metrics.class);
        metrics.registry().gauge("chivevale.proxy.requests.running", this, self -> self.running);
        metrics.registry().gauge("chivevale.proxy.callers", this, self -> self.connections);
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(settings.listen().host())
                        .setPort(settings.listen().port())
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setIdleTimeout(IDLE_SECONDS)
                        .setIdleTimeoutUnit(TimeUnit.SECONDS)
                        .setTcpNoDelay(true);
        loop.runAndWait(
                () -> {
                    server = loop.vertx().createHttpServer(options);
                    server.connectionHandler(
                            connection -> {
                                connections++;
                                connection.closeHandler(ignored -> connections--);
                                if (connections > settings.limits().connections()) {
                                    connection.close();
                                }
                            });
                    server.requestHandler(this::handle);
                    server.listen().onFailure(failure -> LOG.errorf("cannot listen: %s", failure));
                });
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/health" -> health(request);
            case "/metrics" -> request.response().end(metrics.scrape());
            default -> serve(request);
        }
    }

    private void health(HttpServerRequest request) {
        boolean leased = directory.isLeased(EventLoop.nowNanos());
        ObjectNode health = MAPPER.createObjectNode();
        health.put("id", settings.id());
        health.put("leased", leased);
        health.put("draining", noticed);
        health.put("version", directory.configuration().version());
        request.response()
                .setStatusCode(leased && !noticed ? OK : SERVICE_UNAVAILABLE)
                .putHeader("Content-Type", "application/json")
                .end(health + "\n");
    }

    private void serve(HttpServerRequest request) {
        running++;
        long started = EventLoop.nowNanos();
        Exchange exchange = new Exchange(request, started);
        new BodyReader(request, settings.limits().bodyBytes())
                .call()
                .compose(body -> dispatch(exchange, body))
                .recover(failure -> Future.succeededFuture(ofFailure(failure)))
                .onSuccess(answer -> finish(exchange, answer));
    }

    /** One request with what is found out about it. */
    private static final class Exchange {
        final HttpServerRequest request;
        final long startedNanos;
        Caller caller;
        StatementKind kind = StatementKind.READ;

        Exchange(HttpServerRequest request, long startedNanos) {
            this.request = request;
            this.startedNanos = startedNanos;
        }
    }

    private Future<CallerAnswer> dispatch(Exchange exchange, Buffer body) {
        if (draining) {
            throw new ChivevaleException(ResultCode.DRAINING, "proxy " + settings.id());
        }
        if (!directory.isLeased(EventLoop.nowNanos())) {
            throw new ChivevaleException(ResultCode.LEASE_MISSING, "proxy " + settings.id());
        }
        String[] path = exchange.request.path().split("/", -1);
        boolean versioned = path.length >= 4 && path[1].equals("v1");
        if (!versioned) {
            throw unknownPath(exchange);
        }
        HttpMethod method = exchange.request.method();
        if (path[2].equals("open") && path.length == 4 && method == HttpMethod.GET) {
            return open(exchange, path[3]);
        }
        if (method != HttpMethod.POST) {
            throw unknownPath(exchange);
        }
        exchange.caller = authenticate(exchange.request);
        JsonNode json = RequestReader.parse(body);
        if (path[2].equals("databases") && path.length == 5) {
            return forDatabase(exchange, path[3], path[4], json);
        }
        if (path[2].equals("transactions") && path.length == 5) {
            exchange.kind = StatementKind.WRITE;
            return transactions
                    .step(exchange.caller.account().id(), path[3], path[4], body)
                    .map(answer -> stillAllowed(exchange, answer));
        }
        throw unknownPath(exchange);
    }

    private Future<CallerAnswer> forDatabase(
            Exchange exchange, String database, String what, JsonNode json) {
        return switch (what) {
            case "statements" -> statements(exchange, database, json);
            case "transactions" -> begin(exchange, database, json);
            default -> throw unknownPath(exchange);
        };
    }

    private static ChivevaleException unknownPath(Exchange exchange) {
        return new ChivevaleException(
                ResultCode.ROUTE_UNKNOWN,
                "no " + exchange.request.method() + " " + exchange.request.path());
    }

    private Caller authenticate(HttpServerRequest request) {
        String header = request.getHeader("Authorization");
        String text =
                header != null && header.startsWith(BEARER)
                        ? header.substring(BEARER.length())
                        : null;
        StoredKey key = directory.configuration().authenticate(text);
        Account account = directory.configuration().account(key.account());
        if (account == null) {
            throw new ChivevaleException(
                    ResultCode.KEY_REFUSED, "client account " + key.account() + " is gone");
        }
        return new Caller(account, key.id());
    }

    private Future<CallerAnswer> statements(Exchange exchange, String database, JsonNode json) {
        CallerRequest request =
                reader.read(
                        exchange.caller.account().id(),
                        database,
                        json,
                        exchange.startedNanos,
                        System.currentTimeMillis());
        exchange.kind = request.kind();
        return rates.admit(request.account(), request.deadlineNanos())
                .compose(ignored -> steps.runOnce(request))
                .map(answer -> stillAllowed(exchange, answer));
    }

    /** Withholds results from a caller whose key was withdrawn while the request ran. */
    private CallerAnswer stillAllowed(Exchange exchange, CallerAnswer answer) {
        if (directory.configuration().key(exchange.caller.keyId()) != null) {
            return answer;
        }
        return CallerAnswer.failed(
                ResultCode.KEY_REFUSED,
                exchange.kind == StatementKind.READ ? Outcome.NOT_RUN : answer.outcome(),
                "key " + exchange.caller.keyId() + " was withdrawn while the request ran");
    }

    private Future<CallerAnswer> begin(Exchange exchange, String database, JsonNode json) {
        exchange.kind = StatementKind.WRITE;
        ClientAccountId account = exchange.caller.account().id();
        GroupId group = reader.group(account, database, json);
        long deadline = reader.deadlineNanos(json, exchange.startedNanos);
        String token = json.path("session").asText("");
        SessionToken session =
                token.isEmpty()
                        ? SessionToken.EMPTY
                        : directory.configuration().sessionTokens().decode(account, token);
        return rates.admit(account, deadline)
                .compose(
                        ignored ->
                                transactions.begin(
                                        account,
                                        exchange.caller.keyId(),
                                        group,
                                        session,
                                        deadline));
    }

    private Future<CallerAnswer> open(Exchange exchange, String name) {
        OpenRoute route = directory.configuration().openRoute(name);
        if (route == null) {
            throw new ChivevaleException(ResultCode.ROUTE_UNKNOWN, "no open route '" + name + "'");
        }
        Account account = directory.configuration().account(route.account());
        ObjectNode json = MAPPER.createObjectNode();
        String slot = exchange.request.getParam("slot");
        String routingKey = exchange.request.getParam("routing_key");
        if (slot != null && slot.matches("[0-9]{1,4}")) {
            json.put("slot", Integer.parseInt(slot));
        }
        if (routingKey != null) {
            json.put("routing_key", routingKey);
        }
        GroupId group = reader.group(route.account(), route.database(), json);
        CallerRequest request =
                new CallerRequest(
                        account.id(),
                        group,
                        StatementKind.READ,
                        List.of(new Statement(route.sql(), List.of())),
                        null,
                        route.acceptedAgeMillis(),
                        null,
                        true,
                        reader.deadlineNanos(json, exchange.startedNanos));
        return rates.admit(account.id(), request.deadlineNanos())
                .compose(ignored -> steps.runOnce(request));
    }

    private static CallerAnswer ofFailure(Throwable failure) {
        if (failure instanceof ChivevaleException known) {
            return CallerAnswer.failed(known);
        }
        LOG.error("request failed", failure);
        return CallerAnswer.failed(
                ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }

    private void finish(Exchange exchange, CallerAnswer answer) {
        running--;
        long took = EventLoop.nowNanos() - exchange.startedNanos;
        ClientAccountId account = null;
        if (exchange.caller == null) {
            usage.count(answer.code());
        } else {
            account = exchange.caller.account().id();
            usage.count(exchange.caller.account(), exchange.kind, answer, took);
        }
        if (exchange.request.response().closed()) {
            return;
        }
        exchange.request
                .response()
                .setStatusCode(answer.code().httpStatus())
                .putHeader("Content-Type", "application/json");
        if (noticed && exchange.request.version().ordinal() < 2) {
            exchange.request.response().putHeader("Connection", "close");
        }
        exchange.request
                .response()
                .end(
                        AnswerWriter.write(
                                answer, account, directory.configuration().sessionTokens()));
    }

    @Override
    public void drain() {
        noticed = true;
        LOG.info("draining");
        ProcessLifetime.pause(settings.timing().drainNoticeMillis());
        long endMillis = System.currentTimeMillis() + settings.timing().drainMillis();
        while (busy() && System.currentTimeMillis() < endMillis) {
            ProcessLifetime.pause(DRAIN_POLL_MILLIS);
        }
        draining = true;
        while (running > 0 && System.currentTimeMillis() < endMillis) {
            ProcessLifetime.pause(DRAIN_POLL_MILLIS);
        }
    }

    private boolean busy() {
        return transactions.openCount() > 0;
    }

    @Override
    public void stop() {
        loop.runAndWait(() -> server.close());
    }
}
