package org.chivevale.load.baseline;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.ChildProcess;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.DeploymentPlan;
import org.chivevale.load.deployment.FreePorts;

/**
 * Compares the proxy with a baseline: the same HTTP server and PG client without proxy logic.
 *
 * <p>Both run against the same endpoint, one after the other in several rounds. Used by one thread.
 */
@Command(name = "baseline", description = "Compare the proxy with a baseline server")
public final class BaselineCommand implements Runnable {
    private static final String DATABASE = "base";
    private static final String SQL = "SELECT note FROM base_row WHERE id = $1";
    private static final int CONNECTIONS = 40;
    private static final int HEAP_MEGABYTES = 192;
    private static final int ROUNDS = 3;
    private static final long WARM_UP_MILLIS = 6000;
    private static final int CALLERS = 16;

    @Option(
            name = {"--seconds"},
            title = "N",
            description = "Length of each measurement, in seconds")
    private int seconds = 5;

    @Override
    public void run() {
        try {
            measure(Files.createTempDirectory("chivevale-baseline"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void measure(Path folder) throws IOException {
        DeploymentPlan plan =
                new DeploymentPlan(
                        List.of("muscat"),
                        1,
                        1,
                        List.of(
                                new DeploymentPlan.DatabasePlan(
                                        DATABASE, 1, 1, CONNECTIONS, "primary")),
                        List.of(
                                new DeploymentPlan.AccountPlan(
                                        "hotel", 1e6, 1_000_000, List.of(DATABASE), 100)),
                        List.of(),
                        List.of());
        try (Deployment deployment = new Deployment(plan, folder).optimized()) {
            deployment.start();
            HostPort endpoint = deployment.endpoints().get(DATABASE + "-1").listen();
            HostPort listen = FreePorts.next();
            Path settings = folder.resolve("baseline.toml");
            Files.write(
                    settings,
                    List.of(
                            "listen = \"" + listen + "\"",
                            "endpoint = \"" + endpoint + "\"",
                            "group = \"" + DATABASE + ".0\"",
                            "password = \"stand-in\"",
                            "connections = 12",
                            "sql = \"" + SQL.replace("base_row", "hotel.base_row") + "\""));
            try (ChildProcess baselineServer =
                    new ChildProcess(
                                    "baseline",
                                    "org.chivevale.load.baseline.BaselineServer",
                                    HEAP_MEGABYTES,
                                    settings,
                                    folder.resolve("baseline.log"))
                            .optimized()) {
                ClosedLoop proxy =
                        new ClosedLoop(
                                deployment.proxies().get(0).listen(), deployment.key("hotel"), SQL);
                proxy.createTable();
                baselineServer.start();
                ClosedLoop baseline = new ClosedLoop(listen, "", SQL);
                baseline.awaitReady();
                compare(proxy, deployment.proxies().get(0).process(), baseline, baselineServer);
            }
        }
    }

    private void compare(
            ClosedLoop proxy,
            ChildProcess proxyProcess,
            ClosedLoop baseline,
            ChildProcess baselineProcess) {
        proxy.run(CALLERS, 0, WARM_UP_MILLIS);
        baseline.run(CALLERS, 0, WARM_UP_MILLIS);
        for (int round = 1; round <= ROUNDS; round++) {
            Measurement baselineFull = measureLoad(baseline, baselineProcess, 0);
            Measurement proxyFull = measureLoad(proxy, proxyProcess, 0);
            double halfPerSecond = Math.min(baselineFull.perSecond(), proxyFull.perSecond()) / 2;
            Measurement baselineAtHalf = measureLoad(baseline, baselineProcess, halfPerSecond);
            Measurement proxyAtHalf = measureLoad(proxy, proxyProcess, halfPerSecond);
            System.out.printf(
                    Locale.ROOT,
                    "round %d: baseline %.0f/s, %.0f per core second; proxy %.0f/s, %.0f per core"
                            + " second; ratio per core %.2f%n",
                    round,
                    baselineFull.perSecond(),
                    baselineFull.perCoreSecond(),
                    proxyFull.perSecond(),
                    proxyFull.perCoreSecond(),
                    proxyFull.perCoreSecond() / baselineFull.perCoreSecond());
            System.out.printf(
                    Locale.ROOT,
                    "  at %.0f/s: baseline p50 %.2f p99 %.2f ms; proxy p50 %.2f p99 %.2f ms; added"
                            + " p50 %.2f p99 %.2f ms%n",
                    halfPerSecond,
                    baselineAtHalf.latencyMillis(50),
                    baselineAtHalf.latencyMillis(99),
                    proxyAtHalf.latencyMillis(50),
                    proxyAtHalf.latencyMillis(99),
                    proxyAtHalf.latencyMillis(50) - baselineAtHalf.latencyMillis(50),
                    proxyAtHalf.latencyMillis(99) - baselineAtHalf.latencyMillis(99));
        }
    }

    private record Measurement(double perSecond, double perCoreSecond, Histogram latencyMicros) {
        double latencyMillis(double percentile) {
            return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private Measurement measureLoad(ClosedLoop loop, ChildProcess process, double perSecond) {
        double cpuBefore = process.cpuSeconds();
        Histogram latency = loop.run(CALLERS, perSecond, seconds * 1000L);
        double cpu = process.cpuSeconds() - cpuBefore;
        long count = latency.getTotalCount();
        return new Measurement(count / (double) seconds, count / Math.max(0.01, cpu), latency);
    }
}
