package org.chivevale.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.chivevale.core.settings.HostPort;
import org.jboss.logging.Logger;

/**
 * HTTP server for fault injection: {@code POST /faults} with a JSON object.
 *
 * <p>Fields: {@code silent}, {@code lag_ms}, {@code connect_delay_ms}, {@code connection_limit},
 * {@code crash}. Thread safe.
 */
final class FaultServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FaultServer.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CRASH_EXIT_CODE = 137;

    private final Faults faults;
    private final HttpServer server;

    FaultServer(HostPort address, Faults faults) {
        this.faults = faults;
        try {
            server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), 0);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
        server.createContext("/faults", this::handle);
        server.start();
    }

    private void handle(HttpExchange exchange) throws IOException {
        int status = OK;
        String response = "{}\n";
        try {
            apply(MAPPER.readTree(exchange.getRequestBody()));
        } catch (IOException | IllegalArgumentException e) {
            status = BAD_REQUEST;
            response = MAPPER.createObjectNode().put("error", e.getMessage()) + "\n";
        }
        byte[] bytes = response.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void apply(JsonNode command) {
        command.fieldNames().forEachRemaining(name -> applyFault(name, command.get(name)));
        LOG.infof("set faults: %s", command);
    }

    private void applyFault(String name, JsonNode value) {
        switch (name) {
            case "silent" -> faults.setSilent(value.asBoolean());
            case "lag_ms" -> faults.lagMillis(value.asInt());
            case "connect_delay_ms" -> faults.connectDelayMillis(value.asInt());
            case "connection_limit" -> faults.connectionLimit(value.asInt());
            case "crash" -> Runtime.getRuntime().halt(CRASH_EXIT_CODE);
            default -> throw new IllegalArgumentException("unknown fault '" + name + "'");
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
