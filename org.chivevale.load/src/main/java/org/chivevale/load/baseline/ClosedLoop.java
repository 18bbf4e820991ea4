package org.chivevale.load.baseline;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.chivevale.core.settings.HostPort;

/**
 * Closed-loop callers: each sends its next request after the response to the last one.
 *
 * <p>The total rate may be limited. Used by one thread, which starts one thread per caller.
 */
final class ClosedLoop {
    private static final int MAX_ATTEMPTS = 400;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MAX_TRACKED_MICROS = 60_000_000;
    private static final int HTTP_OK = 200;

    private final HostPort target;
    private final String key;
    private final String sql;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    ClosedLoop(HostPort target, String key, String sql) {
        this.target = target;
        this.key = key;
        this.sql = sql;
    }

    /** Creates the table that is read, with one row. */
    void createTable() {
        sendUntilOk("CREATE TABLE base_row (id bigint PRIMARY KEY, note varchar(20))", "");
        sendUntilOk("INSERT INTO base_row VALUES (7, 'seven')", "\"repeatable\":true,");
    }

    void awaitReady() {
        sendUntilOk(sql, "\"parameters\":[7]");
    }

    private void sendUntilOk(String statement, String extraField) {
        boolean isRequestField = extraField.startsWith("\"repeatable");
        String body =
                "{\"slot\":0,"
                        + (isRequestField ? extraField : "")
                        + "\"statements\":[{\"sql\":\""
                        + statement
                        + "\""
                        + (isRequestField || extraField.isEmpty() ? "" : "," + extraField)
                        + "}]}";
        String lastResult = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                HttpResponse<String> response = send(body);
                lastResult = response.body();
                if (response.statusCode() == HTTP_OK) {
                    return;
                }
            } catch (IOException e) {
                lastResult = e.toString();
            }
            pause(50);
        }
        throw new IllegalStateException(statement + ": " + lastResult);
    }

    private HttpResponse<String> send(String body) throws IOException {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + target + "/v1/databases/base/statements"))
                        .timeout(Duration.ofSeconds(10))
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /**
     * Sends requests and measures their latency.
     *
     * @param callers number of callers, each with a thread
     * @param perSecond total rate; 0 for no limit
     * @param durationMillis how long callers send
     * @return the latency of successful requests in microseconds
     */
    Histogram run(int callers, double perSecond, long durationMillis) {
        Histogram latency = new ConcurrentHistogram(MAX_TRACKED_MICROS, 3);
        long endNanos = System.nanoTime() + durationMillis * NANOS_PER_MILLI;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            long intervalNanos = perSecond == 0 ? 0 : (long) (callers / perSecond * 1e9);
            long offsetNanos = intervalNanos * i / callers;
            Thread thread =
                    new Thread(() -> runCaller(latency, intervalNanos, offsetNanos, endNanos));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return latency;
    }

    private void runCaller(Histogram latency, long intervalNanos, long offsetNanos, long endNanos) {
        String body =
                "{\"slot\":0,\"accepted_age_ms\":1000,\"statements\":[{\"sql\":\""
                        + sql
                        + "\",\"parameters\":[7]}]}";
        long dueNanos = System.nanoTime() + offsetNanos;
        while (System.nanoTime() - endNanos < 0) {
            while (intervalNanos > 0 && System.nanoTime() - dueNanos < 0) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            long startNanos = System.nanoTime();
            try {
                if (send(body).statusCode() == HTTP_OK) {
                    latency.recordValue((System.nanoTime() - startNanos) / 1000);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            dueNanos += intervalNanos;
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
