package org.chivevale.load.run;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.chivevale.load.check.History;

/**
 * Generates load and records the results of the requests.
 *
 * <p>Open loop: requests become due independently of the responses to earlier ones. Started by one
 * thread; everything else runs on the run's own event loop.
 */
public final class LoadRun {
    private static final long TICK_MILLIS = 1;
    private static final int CONNECTIONS_PER_PROXY = 256;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LoadPlan plan;
    private final History history = new History();
    private final WriteGaps gaps = new WriteGaps();
    private final Map<String, AccountResult> results = new LinkedHashMap<>();
    private final List<AccountCallers> callers = new ArrayList<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private Vertx vertx;
    private HttpClient client;
    private long endNanos;
    private long timer;

    /**
     * Describes a run; requests are sent after {@link #start}.
     *
     * @param plan the parameters of the run
     */
    public LoadRun(LoadPlan plan) {
        this.plan = plan;
    }

    /**
     * Starts to send requests.
     *
     * @return completes when all requests have ended
     */
    public CompletableFuture<Void> start() {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        client =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(1000).setTcpNoDelay(true),
                        new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_PROXY));
        vertx.getOrCreateContext().runOnContext(ignored -> startCallers());
        return ended;
    }

    private void startCallers() {
        long now = System.nanoTime();
        endNanos = now + plan.durationMillis() * NANOS_PER_MILLI;
        SplittableRandom random = new SplittableRandom(plan.seed());
        for (LoadPlan.AccountLoad account : plan.accounts()) {
            AccountResult result = new AccountResult();
            results.put(account.name(), result);
            callers.add(
                    new AccountCallers(
                            plan,
                            account,
                            vertx,
                            client,
                            history,
                            gaps,
                            result,
                            random.split(),
                            now));
        }
        timer = vertx.setPeriodic(TICK_MILLIS, ignored -> tick());
    }

    private void tick() {
        long now = System.nanoTime();
        boolean sending = now - endNanos < 0;
        boolean idle = true;
        for (AccountCallers accountCallers : callers) {
            accountCallers.tick(now, sending);
            idle &= accountCallers.isIdle();
        }
        if (!sending && idle) {
            vertx.cancelTimer(timer);
            ended.complete(null);
        }
    }

    /** Closes the connections and stops the event loop. */
    public void close() {
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Returns the recorded history.
     *
     * @return the live history; it grows until the run has ended
     */
    public History history() {
        return history;
    }

    /**
     * Returns the gaps in acknowledged writes.
     *
     * @return gaps; to be read after the run
     */
    public WriteGaps gaps() {
        return gaps;
    }

    /**
     * Returns the results by client account.
     *
     * @return results by account name; to be read after the run
     */
    public Map<String, AccountResult> results() {
        return results;
    }

    /**
     * Lists the sessions that wrote, with the slot each used.
     *
     * @return slots by session
     */
    public Map<String, Integer> sessionSlots() {
        Map<String, Integer> slots = new LinkedHashMap<>();
        callers.forEach(accountCallers -> slots.putAll(accountCallers.sessionSlots()));
        return slots;
    }
}
