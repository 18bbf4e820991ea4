package org.chivevale.system;

import static org.chivevale.load.deployment.MalformedInput.ascii;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.chivevale.core.settings.HostPort;
import org.chivevale.core.settings.Settings;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.MalformedInput;
import org.chivevale.load.deployment.MalformedInput.Protocol;
import org.chivevale.wire.proto.ForwardRequest;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.RateRequest;
import org.chivevale.wire.proto.RenewRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a process that ends, hangs or keeps what it holds for a request after random
 * bytes, a truncated message or an oversized one at any of its ports.
 */
class MalformedInputTest {
    private static final long SEED = 20_261_205;
    private static final int PER_PORT = 60;
    private static final String SELECT = "SELECT count(*) FROM pickup WHERE id = $1";

    private final HttpClient http = HttpClient.newHttpClient();

    @Test
    @Timeout(300)
    void malformedInputAtAnyPortLeavesTheProcessesServing() throws Exception {
        Path folder = TestDeployments.createTempFolder();
        try (Deployment deployment =
                TestDeployments.start(new Deployment(TestDeployments.createPlan(1, 1), folder))) {
            HostPort callers = TestDeployments.proxyAddress(deployment, 0);
            HostPort forward =
                    Settings.read(folder.resolve("proxy-1").resolve("settings.toml"))
                            .address("forward_listen");
            Deployment.ControlNode control = deployment.controls().get(0);
            MalformedInput input = new MalformedInput(SEED);

            input.send(callers, Protocol.HTTP, callerRequests(deployment), PER_PORT);
            input.send(forward, Protocol.FRAMES, forwardFrames(), PER_PORT);
            input.send(control.admin(), Protocol.HTTP, adminRequests(deployment), PER_PORT);
            input.send(control.wire(), Protocol.FRAMES, renewalFrames(), PER_PORT);

            assertServing(deployment, callers);
            input.close();
            Deployment.await(
                    "the end of unfinished requests",
                    () -> isZero(callers, "chivevale_proxy_requests_running"));
        }
    }

    /** A change reaches the proxy, which renews its lease, and writes and reads work. */
    private static void assertServing(Deployment deployment, HostPort callers) {
        assertTrue(deployment.controls().get(0).process().isAlive());
        assertTrue(deployment.proxies().get(0).process().isAlive());
        CallerClient caller = new CallerClient(deployment.createKey("hotel"));
        Deployment.await("a write with a new key", () -> write(caller, callers));
        JsonNode read =
                caller.postStatements(
                        callers,
                        TestDeployments.DATABASE,
                        CallerClient.createBody(SELECT, "after").put("slot", 0));
        assertEquals(0, read.path("code").asInt(-1), read.toString());
        Deployment.await(
                "only the proxy that runs",
                () -> deployment.admin().get("/v1/status").path("proxies").size() == 1);
    }

    private static boolean write(CallerClient caller, HostPort callers) {
        JsonNode written =
                caller.postStatements(
                        callers,
                        TestDeployments.DATABASE,
                        CallerClient.createWriteBody(
                                0, "INSERT INTO pickup VALUES ($1, $2, $3)", "after", "x", 1));
        return written.path("code").asInt(-1) == 0;
    }

    private boolean isZero(HostPort address, String gauge) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + address + "/metrics")).build();
            String metrics = http.send(request, HttpResponse.BodyHandlers.ofString()).body();
            return metrics.contains("\n" + gauge + " 0.0\n");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] request(String path, String key, String body) {
        return ascii(
                "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(path, key, body.length(), body));
    }

    private static List<byte[]> callerRequests(Deployment deployment) {
        String key = deployment.key("bakery");
        String database = "/v1/databases/" + TestDeployments.DATABASE;
        String read = CallerClient.createBody(SELECT, "x").put("slot", 0).toString();
        return List.of(
                ascii("GET /health HTTP/1.1\r\nHost: x\r\n\r\n"),
                ascii("GET /v1/open/x?slot=9999 HTTP/1.1\r\nHost: x\r\n\r\n"),
                request(database + "/statements", key, read),
                request(
                        database + "/statements",
                        key,
                        "{\"statements\":[{\"sql\":1}],\"slot\":-1}"),
                request(database + "/statements", key, "[".repeat(50_000)),
                request(database + "/transactions", key, "{\"slot\":0,\"session\":\"%%\"}"),
                request("/v1/transactions/%00/commit", key, "{}"));
    }

    private static List<byte[]> adminRequests(Deployment deployment) {
        String key = deployment.operatorKey();
        return List.of(
                ascii("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"),
                request("/v1/plans", key, "{\"intent\":{\"kind\":\"account-create\"}}"),
                request("/v1/plans", key, "{\"intent\":[]}"),
                request("/v1/confirmations", key, "{\"plan\":null}"),
                request("/v1/announcements", "x.y", "{\"endpoint\":\"x\",\"groups\":[{}]}"),
                request("/v1/announcements", "", "null"));
    }

    private static byte[] frame(Frame.Builder frame) {
        return MalformedInput.frame(frame.setCorrelationId(-1).build().toByteArray());
    }

    private static List<byte[]> forwardFrames() {
        return List.of(
                frame(Frame.newBuilder()),
                frame(Frame.newBuilder().setForwardRequest(ForwardRequest.newBuilder())),
                frame(
                        Frame.newBuilder()
                                .setForwardRequest(
                                        ForwardRequest.newBuilder()
                                                .setAccountId("bakery")
                                                .setTransactionId("x")
                                                .setAction("commit"))),
                frame(Frame.newBuilder().setRateRequest(RateRequest.newBuilder())));
    }

    private static List<byte[]> renewalFrames() {
        return List.of(
                frame(Frame.newBuilder().setRenewRequest(RenewRequest.newBuilder())),
                frame(
                        Frame.newBuilder()
                                .setRenewRequest(
                                        RenewRequest.newBuilder()
                                                .setProxyId("x")
                                                .setIncarnation(-1)
                                                .setConfigVersion(-1)
                                                .setLeaving(true)
                                                .addHealthReports(
                                                        HealthReport.newBuilder()
                                                                .setGroupId("x")))),
                frame(Frame.newBuilder().setRateRequest(RateRequest.newBuilder())));
    }
}
