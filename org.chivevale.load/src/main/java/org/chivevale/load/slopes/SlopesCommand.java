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
 * Measures what control costs as the fleet grows, for the capacity page.
 *
 * <p>Real control and proxy processes; proxies are stand-ins where only their renewals matter. Used
 * by one thread.
 */
@Command(name = "slopes", description = "Measure the costs that the capacity page works from")
public final class SlopesCommand implements Runnable {
    private static final int[] PROXY_COUNTS = {50, 100, 200, 400};
    private static final int[] GROUP_COUNTS = {1, 4, 8, 16};
    private static final int GROUPS_OF_A_PROXY = 7;
    private static final int CHANGES = 40;
    private static final long SETTLE_MILLIS = 4000;
    private static final long MEASURE_MILLIS = 6000;
    private static final double SECONDS = MEASURE_MILLIS / 1000.0;

    private record Sample(
            int size,
            double cpuShare,
            double bytesOutPerSecond,
            double bytesInPerSecond,
            double cpuSecondsPerChange) {}

    @Override
    public void run() {
        List<Sample> control = new ArrayList<>();
        for (int proxies : PROXY_COUNTS) {
            control.add(measureControl(proxies));
        }
        print("control: cores by proxies", control, Sample::cpuShare);
        print("control: cores a change a second by proxies", control, Sample::cpuSecondsPerChange);
        List<Sample> proxy = new ArrayList<>();
        for (int groups : GROUP_COUNTS) {
            proxy.add(measureProxy(groups));
        }
        print("proxy: cores by probed groups", proxy, Sample::cpuShare);
    }

    private static void print(String what, List<Sample> samples, ToDoubleFunction<Sample> value) {
        List<Point> points =
                samples.stream()
                        .map(one -> new Point(one.size(), value.applyAsDouble(one)))
                        .toList();
        LinearFit fit = LinearFit.of(points);
        for (Sample one : samples) {
            System.out.printf(
                    Locale.ROOT,
                    "%s: size %d: %.6f; sent %.0f B/s, received %.0f B/s%n",
                    what,
                    one.size(),
                    value.applyAsDouble(one),
                    one.bytesOutPerSecond(),
                    one.bytesInPerSecond());
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
        try (Deployment deployment = start(0, GROUPS_OF_A_PROXY);
                FakeProxies fakes =
                        new FakeProxies(
                                deployment.controls().get(0).wire(), proxies, GROUPS_OF_A_PROXY)) {
            ChildProcess control = deployment.controls().get(0).process();
            pause(SETTLE_MILLIS);
            double cpuBefore = control.cpuSeconds();
            long outBefore = fakes.bytesOut();
            long inBefore = fakes.bytesIn();
            pause(MEASURE_MILLIS);
            double share = (control.cpuSeconds() - cpuBefore) / SECONDS;
            double out = (fakes.bytesOut() - outBefore) / SECONDS / proxies;
            double in = (fakes.bytesIn() - inBefore) / SECONDS / proxies;
            double perChange = costOfChange(deployment.admin(), control, share);
            return new Sample(proxies, share, out, in, perChange);
        }
    }

    private static double costOfChange(AdminClient admin, ChildProcess control, double idleShare) {
        long start = System.nanoTime();
        double cpuBefore = control.cpuSeconds();
        for (int i = 0; i < CHANGES; i++) {
            ObjectNode intent =
                    new ObjectMapper()
                            .createObjectNode()
                            .put("kind", "account-change")
                            .put("account", "hotel")
                            .put("burst", 100 + i);
            admin.carryOut(intent);
            pause(50);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpu = control.cpuSeconds() - cpuBefore - idleShare * seconds;
        return cpu / CHANGES;
    }

    private static Sample measureProxy(int groups) {
        try (Deployment deployment = start(1, groups)) {
            ChildProcess proxy = deployment.proxies().get(0).process();
            pause(SETTLE_MILLIS);
            double cpuBefore = proxy.cpuSeconds();
            pause(MEASURE_MILLIS);
            double share = (proxy.cpuSeconds() - cpuBefore) / SECONDS;
            return new Sample(groups, share, 0, 0, 0);
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
