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
 * Calls the administration API of the control process that is the leader.
 *
 * <p>A call may be retried at another process after a failure. That is safe because planning
 * changes nothing and a plan is applied only once, however often it is confirmed. Thread safe.
 */
public final class AdminClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_ROUNDS = 20;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final int HTTP_OK = 200;

    private final List<String> addresses;
    private final String key;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    /**
     * Creates a client; it connects with the first call.
     *
     * @param addresses {@code IP:PORT} of the control processes
     * @param key the operator's key
     */
    public AdminClient(List<String> addresses, String key) {
        this.addresses = List.copyOf(addresses);
        this.key = key;
    }

    /**
     * Sends a GET request.
     *
     * @param path such as {@code /v1/status}
     * @return the response body
     * @throws ChivevaleException with the result code of the API
     */
    public JsonNode get(String path) {
        return callLeader(path, null);
    }

    /**
     * Plans an intent; nothing changes yet.
     *
     * @param intent the intent
     * @return the plan to be confirmed
     */
    public JsonNode plan(JsonNode intent) {
        ObjectNode body = MAPPER.createObjectNode();
        body.set("intent", intent);
        return callLeader("/v1/plans", body);
    }

    /**
     * Confirms a plan.
     *
     * @param plan the plan as {@link #plan} returned it
     * @return the response body
     */
    public JsonNode confirm(JsonNode plan) {
        return callLeader("/v1/confirmations", plan);
    }

    /**
     * Plans an intent and confirms the plan.
     *
     * @param intent the intent
     * @return the confirmed plan; it contains the secret when one was created
     */
    public JsonNode planAndConfirm(JsonNode intent) {
        JsonNode plan = plan(intent);
        confirm(plan);
        return plan;
    }

    private JsonNode callLeader(String path, JsonNode body) {
        ChivevaleException last =
                new ChivevaleException(ResultCode.NOT_LEADER, "no control process answers");
        for (int round = 0; round < MAX_ROUNDS; round++) {
            for (String address : addresses) {
                try {
                    return callProcess(address, path, body);
                } catch (ChivevaleException e) {
                    if (e.code() != ResultCode.NOT_LEADER) {
                        throw e;
                    }
                    last = e;
                }
            }
            sleepBeforeRetry();
        }
        throw last;
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private JsonNode callProcess(String address, String path, JsonNode body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(CALL_TIMEOUT)
                        .header("Authorization", "Bearer " + key);
        if (body != null) {
            request.POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        }
        try {
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            JsonNode json = MAPPER.readTree(response.body());
            if (response.statusCode() == HTTP_OK) {
                return json;
            }
            throw new ChivevaleException(resultCode(json), json.path("message").asText());
        } catch (IOException e) {
            throw new ChivevaleException(ResultCode.NOT_LEADER, address + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ChivevaleException(ResultCode.INTERNAL, "interrupted");
        }
    }

    private static ResultCode resultCode(JsonNode json) {
        try {
            return ResultCode.valueOf(json.path("name").asText());
        } catch (IllegalArgumentException e) {
            return ResultCode.INTERNAL;
        }
    }
}
