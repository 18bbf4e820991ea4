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
 * Compares the proxy with the plain baseline: the same HTTP server and PG client, nothing between.
 *
 * <p>Both run against the same endpoint, one after the other in several rounds. Used by one thread.
 */
@Command(name = "baseline", description = "Compare the proxy with the plain baseline")
public final class BaselineCommand implements Runnable {
    private static final String DATABASE = "base";
    private static final String SQL = "SELECT note FROM base_row WHERE id = $1";
    private static final int CONNECTIONS = 40;
    private static final int HEAP_MEGABYTES = 192;
    private static final int ROUNDS = 3;
    private static final long WARM_UP_MILLIS = 6000;
    private static final int FULL_CALLERS = 16;

    @Option(
            name = {"--seconds"},
            title = "N",
            description = "Length of each measured part")
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
            try (ChildProcess plain =
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
                proxy.prepare();
                plain.start();
                ClosedLoop baseline = new ClosedLoop(listen, "", SQL);
                baseline.awaitReady();
                compare(proxy, deployment.proxies().get(0).process(), baseline, plain);
            }
        }
    }

    private void compare(
            ClosedLoop proxy,
            ChildProcess proxyProcess,
            ClosedLoop baseline,
            ChildProcess baselineProcess) {
        proxy.run(FULL_CALLERS, 0, WARM_UP_MILLIS);
        baseline.run(FULL_CALLERS, 0, WARM_UP_MILLIS);
        for (int round = 1; round <= ROUNDS; round++) {
            Part base = part(baseline, baselineProcess, 0);
            Part full = part(proxy, proxyProcess, 0);
            double half = Math.min(base.perSecond(), full.perSecond()) / 2;
            Part baseHalf = part(baseline, baselineProcess, half);
            Part proxyHalf = part(proxy, proxyProcess, half);
            System.out.printf(
                    Locale.ROOT,
                    "round %d: baseline %.0f/s, %.0f per core second; proxy %.0f/s, %.0f per core"
                            + " second; ratio per core %.2f%n",
                    round,
                    base.perSecond(),
                    base.perCoreSecond(),
                    full.perSecond(),
                    full.perCoreSecond(),
                    full.perCoreSecond() / base.perCoreSecond());
            System.out.printf(
                    Locale.ROOT,
                    "  at %.0f/s: baseline p50 %.2f p99 %.2f ms; proxy p50 %.2f p99 %.2f ms; added"
                            + " p50 %.2f p99 %.2f ms%n",
                    half,
                    baseHalf.millis(50),
                    baseHalf.millis(99),
                    proxyHalf.millis(50),
                    proxyHalf.millis(99),
                    proxyHalf.millis(50) - baseHalf.millis(50),
                    proxyHalf.millis(99) - baseHalf.millis(99));
        }
    }

    private record Part(double perSecond, double perCoreSecond, Histogram latencyMicros) {
        double millis(double percentile) {
            return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    private Part part(ClosedLoop loop, ChildProcess process, double perSecond) {
        double cpuBefore = process.cpuSeconds();
        Histogram latency = loop.run(FULL_CALLERS, perSecond, seconds * 1000L);
        double cpu = process.cpuSeconds() - cpuBefore;
        long count = latency.getTotalCount();
        return new Part(count / (double) seconds, count / Math.max(0.01, cpu), latency);
    }
}
