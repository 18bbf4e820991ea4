package org.chivevale.control.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.function.Function;
import org.chivevale.control.ControlSettings;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.intent.IntentService;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Operator;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.jboss.logging.Logger;

/**
 * The HTTP administration API: plans, confirmations, status and endpoint announcements.
 *
 * <p>Used on the event loop.
 */
public final class AdminService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "admin";

    private static final Logger LOG = Logger.getLogger(AdminService.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int BODY_LIMIT_BYTES = 256 * 1024;
    private static final int OK = 200;
    private static final String BEARER = "Bearer ";

    private final ControlSettings settings;
    private LogService log;
    private FleetService fleet;
    private IntentService intents;
    private StatusWriter status;
    private Metrics metrics;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     */
    public AdminService(ControlSettings settings) {
        this.settings = settings;
    }

    /** Handles an operator's request. */
    private interface OperatorAction {
        Future<? extends JsonNode> run(Operator operator, JsonNode body);
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        log = kernel.find(LogService.NAME, LogService.class);
        fleet = kernel.find(FleetService.NAME, FleetService.class);
        intents = kernel.find(IntentService.NAME, IntentService.class);
        metrics = kernel.find(Metrics.NAME, Metrics.class);
        status = new StatusWriter(settings, kernel);
        loop.serveHttp(settings.adminListen(), routes(loop));
    }

    private Router routes(EventLoop loop) {
        Router router = Router.router(loop.vertx());
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        router.get("/health").handler(context -> send(context, OK, status.health()));
        router.get("/metrics").handler(context -> context.response().end(metrics.scrape()));
        router.post("/v1/announcements").handler(this::announce);
        operator(router, HttpMethod.POST, "/v1/plans", this::plan);
        operator(router, HttpMethod.POST, "/v1/confirmations", intents::confirm);
        operator(router, HttpMethod.GET, "/v1/status", read(ignored -> status.status()));
        operator(
                router,
                HttpMethod.GET,
                "/v1/configuration",
                read(ignored -> status.configuration()));
        operator(router, HttpMethod.GET, "/v1/history", read(ignored -> intents.history()));
        operator(router, HttpMethod.GET, "/v1/report", read(ignored -> status.report()));
        router.route()
                .last()
                .handler(
                        context ->
                                fail(
                                        context,
                                        new ChivevaleException(
                                                ResultCode.ROUTE_UNKNOWN,
                                                "unknown path " + context.request().path())));
        router.errorHandler(
                413,
                context ->
                        fail(
                                context,
                                new ChivevaleException(
                                        ResultCode.BODY_TOO_LARGE,
                                        "the body exceeds " + BODY_LIMIT_BYTES + " bytes")));
        return router;
    }

    private static OperatorAction read(Function<Operator, JsonNode> action) {
        return (operator, body) -> Future.succeededFuture(action.apply(operator));
    }

    private Future<JsonNode> plan(Operator operator, JsonNode body) {
        return Future.succeededFuture(intents.plan(operator, body.path("intent")));
    }

    private void operator(Router router, HttpMethod method, String path, OperatorAction action) {
        router.route(method, path)
                .handler(
                        context -> {
                            try {
                                requireLeading();
                                Operator operator =
                                        log.state()
                                                .configuration()
                                                .authenticateOperator(bearer(context));
                                action.run(operator, body(context))
                                        .onSuccess(response -> send(context, OK, response))
                                        .onFailure(failure -> fail(context, failure));
                            } catch (RuntimeException e) {
                                fail(context, e);
                            }
                        });
    }

    private void requireLeading() {
        if (!log.isLeader()) {
            throw new ChivevaleException(
                    ResultCode.NOT_LEADER, "the leader is '" + log.leader() + "'");
        }
    }

    private static String bearer(RoutingContext context) {
        String header = context.request().getHeader("Authorization");
        return header != null && header.startsWith(BEARER)
                ? header.substring(BEARER.length())
                : null;
    }

    private static JsonNode body(RoutingContext context) {
        if (context.request().method() == HttpMethod.GET) {
            return MAPPER.createObjectNode();
        }
        try {
            return MAPPER.readTree(context.body().buffer().getBytes());
        } catch (java.io.IOException | NullPointerException e) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, "the body is not valid JSON");
        }
    }

    private void announce(RoutingContext context) {
        try {
            requireLeading();
            new AnnouncementReader(log.state().configuration(), fleet.membership())
                    .acceptAnnouncement(bearer(context), body(context), EventLoop.nowNanos());
            send(context, OK, MAPPER.createObjectNode());
        } catch (RuntimeException e) {
            fail(context, e);
        }
    }

    private static void send(RoutingContext context, int httpStatus, JsonNode response) {
        try {
            context.response()
                    .setStatusCode(httpStatus)
                    .putHeader("Content-Type", "application/json")
                    .end(MAPPER.writeValueAsString(response) + "\n");
        } catch (JsonProcessingException e) {
            context.response().setStatusCode(500).end();
        }
    }

    private static void fail(RoutingContext context, Throwable failure) {
        ResultCode code = ResultCode.INTERNAL;
        if (failure instanceof ChivevaleException known) {
            code = known.code();
        } else {
            LOG.error("request failed: " + context.request().path(), failure);
        }
        ObjectNode response = MAPPER.createObjectNode();
        response.put("code", code.number());
        response.put("name", code.name());
        response.put("message", String.valueOf(failure.getMessage()));
        send(context, code.httpStatus(), response);
    }
}
