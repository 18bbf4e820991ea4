package org.chivevale.load.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.DeploymentPlan;
import org.chivevale.load.run.LoadPlan;
import org.chivevale.load.run.LoadReport;
import org.chivevale.load.run.LoadRun;
import org.chivevale.load.run.StoredRows;

/**
 * Starts a deployment on loopback, generates load, kills a primary and prints the measurements.
 *
 * <p>The deployment has the size given in the requirements: 6 proxies, 3 databases with 3 endpoints
 * and 3 slots each, and 8 client accounts.
 *
 * <p>Used by one thread.
 */
@Command(name = "demo", description = "Run a deployment on loopback with load and a failover")
public final class DemoCommand implements Runnable {
    private static final int PROXIES = 6;
    private static final int SLOTS = 3;
    private static final int ENDPOINTS = 3;
    private static final int CONNECTIONS = 20;
    private static final int ACCOUNTS = 8;
    private static final int LARGE_ACCOUNTS = 2;
    private static final double LARGE_RATE = 60;
    private static final double SMALL_RATE = 15;
    private static final double SENT_SHARE_OF_RATE = 0.6;
    private static final int SESSIONS = 12;
    private static final int OBJECTIVE_MILLIS = 100;
    private static final long WARM_UP_MILLIS = 12_000;
    private static final long DEADLINE_MILLIS = 5000;
    private static final long RETRY_MILLIS = 10_000;
    private static final List<String> DATABASES = List.of("collection", "wash", "billing");
    private static final LoadPlan.Mix MIX = new LoadPlan.Mix(0.3, 0.4, 1000);

    @Option(
            name = {"--seconds"},
            title = "N",
            description = "How long callers send requests, in seconds")
    private int seconds = 40;

    @Option(
            name = {"--json"},
            title = "FILE",
            description = "Also write the measurements to this file as JSON")
    private String jsonFile;

    @Option(
            name = {"--no-fault"},
            description = "Kill no primary")
    private boolean noFault;

    @Override
    public void run() {
        try {
            run(Files.createTempDirectory("chivevale-demo"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void run(Path folder) throws IOException {
        System.out.println("logs and data: " + folder);
        try (Deployment deployment = new Deployment(plan(), folder)) {
            deployment.start();
            System.out.println(
                    "started: 1 control process, 6 proxies, 3 databases of 3 endpoints, 3 slots");
            warmUp(deployment);
            List<LoadReport> reports = load(deployment);
            ArrayNode json = new ObjectMapper().createArrayNode();
            for (int i = 0; i < DATABASES.size(); i++) {
                System.out.println("--- database " + DATABASES.get(i));
                System.out.print(reports.get(i).text());
                json.add(reports.get(i).json().put("database", DATABASES.get(i)));
            }
            if (jsonFile != null) {
                Files.writeString(Path.of(jsonFile), json.toPrettyString());
            }
        }
    }

    private static DeploymentPlan plan() {
        List<DeploymentPlan.DatabasePlan> databases = new ArrayList<>();
        for (String name : DATABASES) {
            databases.add(
                    new DeploymentPlan.DatabasePlan(name, SLOTS, ENDPOINTS, CONNECTIONS, "quorum"));
        }
        List<DeploymentPlan.AccountPlan> accounts = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            double rate = DATABASES.size() * (i < LARGE_ACCOUNTS ? LARGE_RATE : SMALL_RATE);
            accounts.add(
                    new DeploymentPlan.AccountPlan(
                            "hotel-" + (i + 1), rate, (int) rate, DATABASES, OBJECTIVE_MILLIS));
        }
        return new DeploymentPlan(
                List.of("muscat", "sohar", "salalah"),
                PROXIES,
                1,
                databases,
                accounts,
                List.of(),
                List.of());
    }

    private void warmUp(Deployment deployment) {
        System.out.println("warming up for " + WARM_UP_MILLIS / 1000 + " s");
        List<LoadRun> runs = new ArrayList<>();
        for (String database : DATABASES) {
            LoadPlan plan = plan(deployment, database, WARM_UP_MILLIS, 1);
            new StoredRows(plan).create();
            runs.add(new LoadRun(plan));
        }
        runs.stream().map(LoadRun::start).toList().forEach(CompletableFuture::join);
        runs.forEach(LoadRun::close);
    }

    private List<LoadReport> load(Deployment deployment) {
        List<LoadPlan> plans = new ArrayList<>();
        List<LoadRun> runs = new ArrayList<>();
        for (String database : DATABASES) {
            LoadPlan plan = plan(deployment, database, seconds * 1000L, 2);
            plans.add(plan);
            runs.add(new LoadRun(plan));
        }
        List<CompletableFuture<Void>> ended = runs.stream().map(LoadRun::start).toList();
        if (!noFault) {
            killPrimary(deployment);
        }
        ended.forEach(CompletableFuture::join);
        Deployment.await("groups are complete", deployment::groupsComplete);
        List<LoadReport> reports = new ArrayList<>();
        for (int i = 0; i < plans.size(); i++) {
            reports.add(
                    LoadReport.of(
                            plans.get(i),
                            runs.get(i),
                            new StoredRows(plans.get(i)).read(runs.get(i).sessionSlots())));
            runs.get(i).close();
        }
        return reports;
    }

    private void killPrimary(Deployment deployment) {
        pause(seconds * 300L);
        String group = DATABASES.get(0) + ".0";
        String primary = deployment.primaryOf(group);
        System.out.println("killing " + primary + ", the primary of " + group);
        deployment.endpoints().get(primary).process().kill();
        pause(seconds * 200L);
        System.out.println("starting " + primary + " again");
        deployment.endpoints().get(primary).process().start();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static LoadPlan plan(
            Deployment deployment, String database, long durationMillis, long seed) {
        List<HostPort> proxies =
                deployment.proxies().stream().map(Deployment.ProxyNode::listen).toList();
        List<LoadPlan.AccountLoad> accounts = new ArrayList<>();
        for (DeploymentPlan.AccountPlan account : deployment.plan().accounts()) {
            double ratePerSecond = account.ratePerSecond() / DATABASES.size();
            accounts.add(
                    new LoadPlan.AccountLoad(
                            account.name(),
                            deployment.key(account.name()),
                            ratePerSecond,
                            Math.max(1, account.burst() / DATABASES.size()),
                            ratePerSecond * SENT_SHARE_OF_RATE,
                            SESSIONS,
                            account.objectiveMillis()));
        }
        return new LoadPlan(
                proxies,
                database,
                SLOTS,
                accounts,
                MIX,
                durationMillis,
                DEADLINE_MILLIS,
                RETRY_MILLIS,
                List.of(),
                seed);
    }
}
