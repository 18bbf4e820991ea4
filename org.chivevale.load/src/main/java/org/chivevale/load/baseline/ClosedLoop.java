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
 * Callers that each send the next request once the last was answered, at a given total rate.
 *
 * <p>Used by one thread, which starts one thread a caller.
 */
final class ClosedLoop {
    private static final int TRIES = 400;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int OK = 200;

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

    /** Makes the table that is read, with one row. */
    void prepare() {
        await("CREATE TABLE base_row (id bigint PRIMARY KEY, note varchar(20))", "");
        await("INSERT INTO base_row VALUES (7, 'seven')", "\"repeatable\":true,");
    }

    void awaitReady() {
        await(sql, "\"parameters\":[7]");
    }

    private void await(String statement, String more) {
        boolean isField = more.startsWith("\"repeatable");
        String body =
                "{\"slot\":0,"
                        + (isField ? more : "")
                        + "\"statements\":[{\"sql\":\""
                        + statement
                        + "\""
                        + (isField || more.isEmpty() ? "" : "," + more)
                        + "}]}";
        String last = "";
        for (int i = 0; i < TRIES; i++) {
            try {
                HttpResponse<String> answer = send(body);
                last = answer.body();
                if (answer.statusCode() == OK) {
                    return;
                }
            } catch (IOException e) {
                last = e.toString();
            }
            pause(50);
        }
        throw new IllegalStateException(statement + ": " + last);
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
     * Sends.
     *
     * @param callers threads
     * @param perSecond total rate; 0 for as fast as possible
     * @param millis how long
     * @return the times of answers in microseconds
     */
    Histogram run(int callers, double perSecond, long millis) {
        Histogram latency = new ConcurrentHistogram(HIGHEST_MICROS, 3);
        long end = System.nanoTime() + millis * NANOS_PER_MILLI;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            long intervalNanos = perSecond == 0 ? 0 : (long) (callers / perSecond * 1e9);
            long offset = intervalNanos * i / callers;
            Thread thread = new Thread(() -> call(latency, intervalNanos, offset, end));
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

    private void call(Histogram latency, long intervalNanos, long offsetNanos, long endNanos) {
        String body =
                "{\"slot\":0,\"accepted_age_ms\":1000,\"statements\":[{\"sql\":\""
                        + sql
                        + "\",\"parameters\":[7]}]}";
        long due = System.nanoTime() + offsetNanos;
        while (System.nanoTime() - endNanos < 0) {
            while (intervalNanos > 0 && System.nanoTime() - due < 0) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            long start = System.nanoTime();
            try {
                if (send(body).statusCode() == OK) {
                    latency.recordValue((System.nanoTime() - start) / 1000);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            due += intervalNanos;
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
