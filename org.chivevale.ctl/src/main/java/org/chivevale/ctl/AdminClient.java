package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Calls the administration API at whichever control process leads.
 *
 * <p>A call may be sent again to another process after a failure, which is safe since plans change
 * nothing and confirmations are carried out once. Thread safe.
 */
public final class AdminClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final int ROUNDS = 20;
    private static final long PAUSE_MILLIS = 100;
    private static final int OK = 200;

    private final List<String> addresses;
    private final String key;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    /**
     * Creates a client.
     *
     * @param addresses {@code IP:PORT} of control processes
     * @param key the operator's key
     */
    public AdminClient(List<String> addresses, String key) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
    }

    /**
     * Reads.
     *
     * @param path such as {@code /v1/status}
     * @return the answer
     * @throws ChivevaleException with the code that the API answered
     */
    public JsonNode get(String path) {
        return call(path, null);
    }

    /**
     * Plans an intent.
     *
     * @param intent the intent
     * @return the plan
     */
    public JsonNode plan(JsonNode intent) {
        ObjectNode body = MAPPER.createObjectNode();
        body.set("intent", intent);
        return call("/v1/plans", body);
    }

    /**
     * Confirms a plan.
     *
     * @param plan the plan as it was handed out
     * @return the answer
     */
    public JsonNode confirm(JsonNode plan) {
        return call("/v1/confirmations", plan);
    }

    /**
     * Plans an intent and confirms the plan.
     *
     * @param intent the intent
     * @return the plan, which holds any new secret
     */
    public JsonNode carryOut(JsonNode intent) {
        JsonNode plan = plan(intent);
        confirm(plan);
        return plan;
    }

    private JsonNode call(String path, JsonNode body) {
        ChivevaleException last =
                new ChivevaleException(ResultCode.NOT_LEADER, "no control process answers");
        for (int round = 0; round < ROUNDS; round++) {
            for (String address : addresses) {
                try {
                    return callOne(address, path, body);
                } catch (ChivevaleException e) {
                    if (e.code() != ResultCode.NOT_LEADER) {
                        throw e;
                    }
                    last = e;
                }
            }
            pause();
        }
        throw last;
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private JsonNode callOne(String address, String path, JsonNode body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(CALL_TIMEOUT)
                        .header("Authorization", "Bearer " + key);
        if (body != null) {
            request.POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        }
        try {
            HttpResponse<String> answer =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            JsonNode json = MAPPER.readTree(answer.body());
            if (answer.statusCode() == OK) {
                return json;
            }
            throw new ChivevaleException(code(json), json.path("message").asText());
        } catch (IOException e) {
            throw new ChivevaleException(ResultCode.NOT_LEADER, address + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ChivevaleException(ResultCode.INTERNAL, "interrupted");
        }
    }

    private static ResultCode code(JsonNode json) {
        try {
            return ResultCode.valueOf(json.path("name").asText());
        } catch (IllegalArgumentException e) {
            return ResultCode.INTERNAL;
        }
    }
}
