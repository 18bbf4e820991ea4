package org.chivevale.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.chivevale.core.request.RequestIds;
import org.chivevale.core.settings.HostPort;

/**
 * HTTP client for the caller API, with an optional API key. Each call names the proxy that it goes
 * to.
 */
final class CallerClient {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final String key;

    CallerClient(String key) {
        this.key = key;
    }

    static String newRequestId() {
        return RequestIds.make(
                System.currentTimeMillis(),
                ThreadLocalRandom.current().nextLong(),
                ThreadLocalRandom.current().nextLong());
    }

    static ObjectNode createBody(String sql, Object... parameters) {
        ObjectNode body = MAPPER.createObjectNode();
        ObjectNode statement = body.putArray("statements").addObject();
        statement.put("sql", sql);
        statement.set("parameters", MAPPER.valueToTree(parameters));
        return body;
    }

    static ObjectNode createWriteBody(int slot, String sql, Object... parameters) {
        return createBody(sql, parameters).put("slot", slot).put("request_id", newRequestId());
    }

    JsonNode postStatements(HostPort proxy, String database, ObjectNode body) {
        return post(proxy, "/v1/databases/" + database + "/statements", body);
    }

    JsonNode post(HostPort proxy, String path, JsonNode body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + proxy + path))
                        .timeout(Duration.ofSeconds(40))
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        return send(request);
    }

    JsonNode get(HostPort proxy, String path) {
        return send(HttpRequest.newBuilder(URI.create("http://" + proxy + path)).GET());
    }

    private JsonNode send(HttpRequest.Builder request) {
        if (key != null) {
            request.header("Authorization", "Bearer " + key);
        }
        try {
            HttpResponse<String> response =
                    http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return MAPPER.readTree(response.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
