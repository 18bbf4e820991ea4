package org.chivevale.system;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.check.StoredRow;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.DeploymentPlan;
import org.chivevale.load.run.LoadPlan;
import org.chivevale.load.run.LoadReport;
import org.chivevale.load.run.LoadRun;
import org.chivevale.load.run.StoredRows;

/** Runs caller load on a deployment and checks the recorded history when the load ends. */
final class LoadedDeployment {
    private final Deployment deployment;
    private final LoadPlan plan;
    private final StoredRows rows;
    private LoadRun run;
    private CompletableFuture<Void> loadCompletion;

    LoadedDeployment(
            Deployment deployment,
            double requestsPerSecond,
            LoadPlan.Mix mix,
            long durationMillis,
            long seed) {
        this.deployment = deployment;
        List<HostPort> proxies =
                deployment.proxies().stream().map(Deployment.ProxyNode::listen).toList();
        List<LoadPlan.AccountLoad> accounts = new ArrayList<>();
        for (DeploymentPlan.AccountPlan account : deployment.plan().accounts()) {
            accounts.add(
                    new LoadPlan.AccountLoad(
                            account.name(),
                            deployment.key(account.name()),
                            account.ratePerSecond(),
                            account.burst(),
                            requestsPerSecond,
                            40,
                            account.objectiveMillis()));
        }
        DeploymentPlan.DatabasePlan database = deployment.plan().databases().get(0);
        plan =
                new LoadPlan(
                        proxies,
                        database.name(),
                        database.slots(),
                        accounts,
                        mix,
                        durationMillis,
                        4000,
                        15_000,
                        List.of(),
                        seed);
        rows = new StoredRows(plan);
        rows.create();
    }

    LoadedDeployment startLoad() {
        run = new LoadRun(plan);
        loadCompletion = run.start();
        return this;
    }

    LoadRun run() {
        return run;
    }

    /**
     * Waits until the load ends and all groups are complete, reads the stored rows and checks the
     * history against them.
     */
    LoadReport awaitReport() {
        loadCompletion.join();
        Deployment.await("groups are complete", deployment::groupsComplete);
        List<StoredRow> stored = rows.read(run.sessionSlots());
        run.close();
        return LoadReport.of(plan, run, stored);
    }
}
