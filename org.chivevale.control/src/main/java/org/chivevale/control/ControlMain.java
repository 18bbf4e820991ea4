package org.chivevale.control;

import com.github.rvesse.airline.annotations.Command;
import java.nio.file.Path;
import org.chivevale.control.internal.admin.AdminService;
import org.chivevale.control.internal.failover.FailoverService;
import org.chivevale.control.internal.intent.IntentService;
import org.chivevale.core.failover.FailoverPolicy;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.database.DatabaseConnectors;
import org.chivevale.database.PostgresConnectorOptions;
import org.chivevale.process.Main;

/**
 * The control process: replicated configuration, proxy leases and failover.
 *
 * <p>Run by one thread.
 */
@Command(name = "chivevale-control", description = "Control process of chivevale")
public final class ControlMain extends Main {
    private static final String LOGIN_ROLE = "chivevale";
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final long PROMOTION_TIMEOUT_MILLIS = 3000;
    private static final long SWITCHOVER_TIMEOUT_MILLIS = 1500;

    /**
     * Starts the process and runs until it is signalled to stop.
     *
     * @param args see {@code --help}
     */
    public static void main(String[] args) {
        run(ControlMain.class, ControlMain::new, args);
    }

    @Override
    protected Kernel kernel(Path settingsFile) {
        ControlSettings settings = ControlSettings.read(settingsFile);
        PostgresConnectorOptions options =
                new PostgresConnectorOptions(
                        LOGIN_ROLE, settings.databasePassword(), CONNECT_TIMEOUT_MILLIS);
        return ControlKernel.create(
                        settings,
                        settingsFile,
                        loop -> DatabaseConnectors.postgres(loop.vertx(), options),
                        new FailoverPolicy(PROMOTION_TIMEOUT_MILLIS, SWITCHOVER_TIMEOUT_MILLIS))
                .register(
                        AdminService.NAME,
                        new AdminService(settings),
                        IntentService.NAME,
                        FailoverService.NAME);
    }
}
