package org.chivevale.control;

import com.github.rvesse.airline.annotations.Command;
import java.nio.file.Path;
import org.chivevale.control.internal.admin.AdminService;
import org.chivevale.control.internal.failover.FailoverService;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.intent.IntentService;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Main;
import org.chivevale.process.Metrics;

/**
 * The control process: the agreed configuration, fleet leases, failover.
 *
 * <p>Run by one thread.
 */
@Command(name = "chivevale-control", description = "Control process of chivevale")
public final class ControlMain extends Main {
    /**
     * Runs until the process is told to stop.
     *
     * @param args see {@code --help}
     */
    public static void main(String[] args) {
        run(ControlMain.class, args);
    }

    @Override
    protected Kernel kernel(Path settingsFile) {
        ControlSettings settings = ControlSettings.read(settingsFile);
        return new Kernel()
                .register(EventLoop.NAME, new EventLoop())
                .register(Metrics.NAME, new Metrics())
                .register(LogService.NAME, new LogService(settings), EventLoop.NAME)
                .register(
                        FleetService.NAME,
                        new FleetService(settings),
                        LogService.NAME,
                        Metrics.NAME)
                .register(FailoverService.NAME, new FailoverService(settings), FleetService.NAME)
                .register(IntentService.NAME, new IntentService(), LogService.NAME)
                .register(
                        AdminService.NAME,
                        new AdminService(settings),
                        IntentService.NAME,
                        FailoverService.NAME);
    }
}
