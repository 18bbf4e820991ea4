package org.chivevale.load.slopes;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.chivevale.ctl.AdminClient;
import org.chivevale.load.deployment.ChildProcess;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.DeploymentPlan;
import org.chivevale.load.slopes.LinearFit.Point;

/**
 * Measures how the costs of control and proxies grow with the fleet, for the capacity page.
 *
 * <p>Control and proxies run as real processes; proxies are simulated where only their lease
 * renewals matter. Used by sample thread.
 */
@Command(name = "slopes", description = "Measure the costs on which the capacity page is based")
public final class SlopesCommand implements Runnable {
    private static final int[] PROXY_COUNTS = {50, 100, 200, 400};
    private static final int[] GROUP_COUNTS = {1, 4, 8, 16};
    private static final int GROUPS_PER_PROXY = 7;
    private static final int CHANGES = 40;
    private static final long WARM_UP_MILLIS = 4000;
    private static final long MEASURE_MILLIS = 6000;
    private static final double SECONDS = MEASURE_MILLIS / 1000.0;

    private record Sample(
            int size,
            double cores,
            double bytesOutPerSecond,
            double bytesInPerSecond,
            double cpuSecondsPerChange) {}

    @Override
    public void run() {
        List<Sample> control = new ArrayList<>();
        for (int proxies : PROXY_COUNTS) {
            control.add(measureControl(proxies));
        }
        printFit("control: cores by proxies", control, Sample::cores);
        printFit(
                "control: cores a change a second by proxies",
                control,
                Sample::cpuSecondsPerChange);
        List<Sample> proxy = new ArrayList<>();
        for (int groups : GROUP_COUNTS) {
            proxy.add(measureProxy(groups));
        }
        printFit("proxy: cores by probed groups", proxy, Sample::cores);
    }

    private static void printFit(
            String what, List<Sample> samples, ToDoubleFunction<Sample> value) {
        List<Point> points =
                samples.stream()
                        .map(sample -> new Point(sample.size(), value.applyAsDouble(sample)))
                        .toList();
        LinearFit fit = LinearFit.of(points);
        for (Sample sample : samples) {
            System.out.printf(
                    Locale.ROOT,
                    "%s: size %d: %.6f; sent %.0f B/s, received %.0f B/s%n",
                    what,
                    sample.size(),
                    value.applyAsDouble(sample),
                    sample.bytesOutPerSecond(),
                    sample.bytesInPerSecond());
        }
        System.out.printf(
                Locale.ROOT,
                "%s: fit %.6f + %.9f x size, r2 %.3f%n",
                what,
                fit.intercept(),
                fit.slope(),
                fit.rSquared());
    }

    private static DeploymentPlan plan(int proxies, int groups) {
        return new DeploymentPlan(
                List.of("muscat"),
                proxies,
                1,
                List.of(new DeploymentPlan.DatabasePlan("slopes", groups, 1, 1000, "primary")),
                List.of(new DeploymentPlan.AccountPlan("hotel", 100, 100, List.of("slopes"), 100)),
                List.of(),
                List.of());
    }

    private static Deployment start(int proxies, int groups) {
        try {
            Deployment deployment =
                    new Deployment(
                                    plan(proxies, groups),
                                    Files.createTempDirectory("chivevale-slopes"))
                            .optimized();
            deployment.start();
            return deployment;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Sample measureControl(int proxies) {
        try (Deployment deployment = start(0, GROUPS_PER_PROXY);
                SimulatedProxies simulated =
                        new SimulatedProxies(
                                deployment.controls().get(0).wire(), proxies, GROUPS_PER_PROXY)) {
            ChildProcess control = deployment.controls().get(0).process();
            pause(WARM_UP_MILLIS);
            double cpuBefore = control.cpuSeconds();
            long outBefore = simulated.bytesOut();
            long inBefore = simulated.bytesIn();
            pause(MEASURE_MILLIS);
            double cores = (control.cpuSeconds() - cpuBefore) / SECONDS;
            double out = (simulated.bytesOut() - outBefore) / SECONDS / proxies;
            double in = (simulated.bytesIn() - inBefore) / SECONDS / proxies;
            double perChange = measureCpuSecondsPerChange(deployment.admin(), control, cores);
            return new Sample(proxies, cores, out, in, perChange);
        }
    }

    private static double measureCpuSecondsPerChange(
            AdminClient admin, ChildProcess control, double idleCores) {
        long start = System.nanoTime();
        double cpuBefore = control.cpuSeconds();
        for (int i = 0; i < CHANGES; i++) {
            ObjectNode intent =
                    new ObjectMapper()
                            .createObjectNode()
                            .put("kind", "account-change")
                            .put("account", "hotel")
                            .put("burst", 100 + i);
            admin.planAndConfirm(intent);
            pause(50);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpu = control.cpuSeconds() - cpuBefore - idleCores * seconds;
        return cpu / CHANGES;
    }

    private static Sample measureProxy(int groups) {
        try (Deployment deployment = start(1, groups)) {
            ChildProcess proxy = deployment.proxies().get(0).process();
            pause(WARM_UP_MILLIS);
            double cpuBefore = proxy.cpuSeconds();
            pause(MEASURE_MILLIS);
            double cores = (proxy.cpuSeconds() - cpuBefore) / SECONDS;
            return new Sample(groups, cores, 0, 0, 0);
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
