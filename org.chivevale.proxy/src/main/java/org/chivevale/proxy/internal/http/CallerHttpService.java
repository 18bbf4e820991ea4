package org.chivevale.proxy.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
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
import org.chivevale.proxy.internal.request.CallerRequest;
import org.chivevale.proxy.internal.request.CallerResponse;
import org.chivevale.proxy.internal.request.ExecutionService;
import org.chivevale.proxy.internal.request.RequestExecutor;
import org.chivevale.proxy.internal.request.RequestParser;
import org.chivevale.proxy.internal.request.ResponseWriter;
import org.chivevale.proxy.internal.request.UsageCounters;
import org.chivevale.proxy.internal.transaction.ForwardService;
import org.chivevale.proxy.internal.transaction.TransactionService;
import org.jboss.logging.Logger;

/**
 * The HTTP API for callers.
 *
 * <p>Invariants: except on open routes a request runs only for the client account that its key
 * belongs to; the key does not leave this class; every response has a result code and an outcome.
 * Used on the event loop.
 */
public final class CallerHttpService implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "callers";

    private static final Logger LOG = Logger.getLogger(CallerHttpService.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BEARER_PREFIX = "Bearer ";
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int IDLE_TIMEOUT_SECONDS = 60;
    private static final int DRAIN_POLL_MILLIS = 20;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int OK = 200;

    private final ProxySettings settings;
    private final Directory directory;
    private final RequestParser parser;
    private UsageCounters usage;
    private RequestExecutor executor;
    private TransactionRouter transactionRouter;
    private EventLoop loop;
    private RateLimiter rateLimiter;
    private Metrics metrics;
    private HttpServer server;
    private volatile boolean drainAnnounced;
    private volatile boolean rejectsRequests;
    private volatile int requestsInFlight;
    private int openConnections;

    /**
     * Prepares the service; it accepts connections after {@link #start}.
     *
     * @param settings the process's settings
     * @param directory the lease and the configuration
     */
    public CallerHttpService(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
        this.parser = new RequestParser(settings, directory.configuration());
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        rateLimiter = kernel.find(RateLimiter.NAME, RateLimiter.class);
        ExecutionService execution = kernel.find(ExecutionService.NAME, ExecutionService.class);
        executor = execution.executor();
        usage = execution.usage();
        transactionRouter =
                new TransactionRouter(
                        settings,
                        kernel.find(TransactionService.NAME, TransactionService.class),
                        kernel.find(ForwardService.NAME, ForwardService.class));
        metrics = kernel.find(Metrics.NAME, Metrics.class);
        metrics.registry()
                .gauge("chivevale.proxy.requests.running", this, self -> self.requestsInFlight);
        metrics.registry().gauge("chivevale.proxy.callers", this, self -> self.openConnections);
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(settings.listen().host())
                        .setPort(settings.listen().port())
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setIdleTimeoutUnit(TimeUnit.SECONDS)
                        .setTcpNoDelay(true);
        server =
                loop.listen(
                        settings.listen(),
                        () ->
                                loop.vertx()
                                        .createHttpServer(options)
                                        .connectionHandler(this::onConnection)
                                        .requestHandler(this::handleRequest)
                                        .listen());
    }

    private void onConnection(HttpConnection connection) {
        openConnections++;
        connection.closeHandler(ignored -> openConnections--);
        if (openConnections > settings.limits().connections()) {
            connection.close();
        }
    }

    private void handleRequest(HttpServerRequest request) {
        switch (request.path()) {
            case "/health" -> handleHealthRequest(request);
            case "/metrics" -> request.response().end(metrics.scrape());
            default -> handleApiRequest(request);
        }
    }

    private void handleHealthRequest(HttpServerRequest request) {
        boolean leased = directory.isLeased(EventLoop.nowNanos());
        ObjectNode health = MAPPER.createObjectNode();
        health.put("id", settings.id());
        health.put("leased", leased);
        health.put("draining", drainAnnounced);
        health.put("version", directory.configuration().version());
        request.response()
                .setStatusCode(leased && !drainAnnounced ? OK : SERVICE_UNAVAILABLE)
                .putHeader("Content-Type", "application/json")
                .end(health + "\n");
    }

    private void handleApiRequest(HttpServerRequest request) {
        requestsInFlight++;
        long startedAtNanos = EventLoop.nowNanos();
        Exchange exchange = new Exchange(request, startedAtNanos);
        new BodyReader(request, settings.limits().bodyBytes())
                .read()
                .compose(body -> dispatch(exchange, body))
                .recover(failure -> Future.succeededFuture(failureResponse(failure)))
                .onSuccess(response -> sendResponse(exchange, response));
    }

    /** A request with its start time and, once known, its caller and kind. */
    private static final class Exchange {
        final HttpServerRequest request;
        final long startedAtNanos;
        Caller caller;
        StatementKind kind = StatementKind.READ;

        Exchange(HttpServerRequest request, long startedAtNanos) {
            this.request = request;
            this.startedAtNanos = startedAtNanos;
        }
    }

    private Future<CallerResponse> dispatch(Exchange exchange, Buffer body) {
        if (rejectsRequests) {
            throw new ChivevaleException(
                    ResultCode.DRAINING, "proxy " + settings.id() + " is draining");
        }
        if (!directory.isLeased(EventLoop.nowNanos())) {
            throw new ChivevaleException(
                    ResultCode.LEASE_MISSING, "proxy " + settings.id() + " has no fleet lease");
        }
        String[] path = exchange.request.path().split("/", -1);
        boolean isApiPath = path.length >= 4 && path[1].equals("v1");
        if (!isApiPath) {
            throw unknownRoute(exchange);
        }
        HttpMethod method = exchange.request.method();
        if (path[2].equals("open") && path.length == 4 && method == HttpMethod.GET) {
            return readOpenRoute(exchange, path[3]);
        }
        if (method != HttpMethod.POST) {
            throw unknownRoute(exchange);
        }
        exchange.caller = authenticate(exchange.request);
        JsonNode json = RequestParser.parseObject(body);
        if (path[2].equals("databases") && path.length == 5) {
            return dispatchDatabaseRequest(exchange, path[3], path[4], json);
        }
        if (path[2].equals("transactions") && path.length == 5) {
            exchange.kind = StatementKind.WRITE;
            return transactionRouter
                    .executeStep(exchange.caller.account().id(), path[3], path[4], body)
                    .map(response -> withholdIfKeyWithdrawn(exchange, response));
        }
        throw unknownRoute(exchange);
    }

    private Future<CallerResponse> dispatchDatabaseRequest(
            Exchange exchange, String database, String resource, JsonNode json) {
        return switch (resource) {
            case "statements" -> executeStatements(exchange, database, json);
            case "transactions" -> beginTransaction(exchange, database, json);
            default -> throw unknownRoute(exchange);
        };
    }

    private static ChivevaleException unknownRoute(Exchange exchange) {
        return new ChivevaleException(
                ResultCode.ROUTE_UNKNOWN,
                "unknown route " + exchange.request.method() + " " + exchange.request.path());
    }

    private Caller authenticate(HttpServerRequest request) {
        String header = request.getHeader("Authorization");
        String text =
                header != null && header.startsWith(BEARER_PREFIX)
                        ? header.substring(BEARER_PREFIX.length())
                        : null;
        StoredKey key = directory.configuration().authenticate(text);
        Account account = directory.configuration().account(key.account());
        if (account == null) {
            throw new ChivevaleException(
                    ResultCode.KEY_REFUSED, "client account " + key.account() + " was removed");
        }
        return new Caller(account, key.id());
    }

    private Future<CallerResponse> executeStatements(
            Exchange exchange, String database, JsonNode json) {
        CallerRequest request =
                parser.parseRequest(
                        exchange.caller.account().id(),
                        database,
                        json,
                        exchange.startedAtNanos,
                        System.currentTimeMillis());
        exchange.kind = request.kind();
        return rateLimiter
                .admit(request.account(), request.deadlineNanos())
                .compose(ignored -> executor.execute(request))
                .map(response -> withholdIfKeyWithdrawn(exchange, response));
    }

    /** Withholds the results when the caller's key was withdrawn while the request ran. */
    private CallerResponse withholdIfKeyWithdrawn(Exchange exchange, CallerResponse response) {
        if (directory.configuration().key(exchange.caller.keyId()) != null) {
            return response;
        }
        return CallerResponse.failure(
                ResultCode.KEY_REFUSED,
                exchange.kind == StatementKind.READ ? Outcome.NOT_RUN : response.outcome(),
                "key " + exchange.caller.keyId() + " was withdrawn while the request ran");
    }

    private Future<CallerResponse> beginTransaction(
            Exchange exchange, String database, JsonNode json) {
        exchange.kind = StatementKind.WRITE;
        ClientAccountId account = exchange.caller.account().id();
        GroupId group = parser.resolveGroup(account, database, json);
        long deadlineNanos = parser.parseDeadlineNanos(json, exchange.startedAtNanos);
        String token = json.path("session").asText("");
        SessionToken session =
                token.isEmpty()
                        ? SessionToken.EMPTY
                        : directory.configuration().sessionTokens().decode(account, token);
        return rateLimiter
                .admit(account, deadlineNanos)
                .compose(
                        ignored ->
                                transactionRouter.begin(
                                        account,
                                        exchange.caller.keyId(),
                                        group,
                                        session,
                                        deadlineNanos));
    }

    private Future<CallerResponse> readOpenRoute(Exchange exchange, String name) {
        OpenRoute route = directory.configuration().openRoute(name);
        if (route == null) {
            throw new ChivevaleException(
                    ResultCode.ROUTE_UNKNOWN, "unknown open route '" + name + "'");
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
        GroupId group = parser.resolveGroup(route.account(), route.database(), json);
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
                        parser.parseDeadlineNanos(json, exchange.startedAtNanos));
        return rateLimiter
                .admit(account.id(), request.deadlineNanos())
                .compose(ignored -> executor.execute(request));
    }

    private static CallerResponse failureResponse(Throwable failure) {
        if (failure instanceof ChivevaleException rejection) {
            return CallerResponse.failure(rejection);
        }
        LOG.error("request failed unexpectedly", failure);
        return CallerResponse.failure(
                ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }

    private void sendResponse(Exchange exchange, CallerResponse response) {
        requestsInFlight--;
        long durationNanos = EventLoop.nowNanos() - exchange.startedAtNanos;
        ClientAccountId account = null;
        if (exchange.caller == null) {
            usage.recordResponse(response.code());
        } else {
            account = exchange.caller.account().id();
            usage.recordResponse(exchange.caller.account(), exchange.kind, response, durationNanos);
        }
        if (exchange.request.response().closed()) {
            return;
        }
        exchange.request
                .response()
                .setStatusCode(response.code().httpStatus())
                .putHeader("Content-Type", "application/json");
        if (drainAnnounced && exchange.request.version().ordinal() < 2) {
            exchange.request.response().putHeader("Connection", "close");
        }
        exchange.request
                .response()
                .end(
                        ResponseWriter.write(
                                response, account, directory.configuration().sessionTokens()));
    }

    @Override
    public void drain() {
        drainAnnounced = true;
        LOG.info("draining");
        ProcessLifetime.pause(settings.timing().drainNoticeMillis());
        long deadlineUnixMillis = System.currentTimeMillis() + settings.timing().drainMillis();
        while (hasOpenTransactions() && System.currentTimeMillis() < deadlineUnixMillis) {
            ProcessLifetime.pause(DRAIN_POLL_MILLIS);
        }
        rejectsRequests = true;
        while (requestsInFlight > 0 && System.currentTimeMillis() < deadlineUnixMillis) {
            ProcessLifetime.pause(DRAIN_POLL_MILLIS);
        }
    }

    private boolean hasOpenTransactions() {
        return transactionRouter.openCount() > 0;
    }

    @Override
    public void stop() {
        loop.runAndWait(() -> server.close());
    }
}
