package org.chivevale.endpoint;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.ProcessLifetime;
import org.chivevale.core.util.Checks;
import org.chivevale.endpoint.internal.instance.Instance;
import org.chivevale.endpoint.internal.postgres.PgServer;
import org.chivevale.endpoint.internal.replication.ReplicationReceiver;
import org.jboss.logging.Logger;

/**
 * Stand-in endpoint: a PostgreSQL server for demos, tests and measurements.
 *
 * <p>Run by one thread.
 */
@Command(name = "chivevale-endpoint", description = "Stand-in for a database endpoint")
public final class EndpointMain {
    private static final Logger LOG = Logger.getLogger(EndpointMain.class);
    private static final int INVALID_SETTINGS_EXIT_CODE = 2;

    @AirlineModule private HelpOption<EndpointMain> help;

    @Option(
            name = {"--settings"},
            title = "FILE",
            description = "TOML file with the settings")
    private String settingsFile = "endpoint.toml";

    /**
     * Runs the endpoint until the process is signalled to stop.
     *
     * @param args command line options, see {@code --help}
     */
    public static void main(String[] args) {
        try {
            EndpointMain main = SingleCommand.singleCommand(EndpointMain.class).parse(args);
            if (!main.help.showHelpIfRequested()) {
                main.run();
            }
        } catch (ParseException | ChivevaleException e) {
            System.err.println(e.getMessage());
            System.exit(INVALID_SETTINGS_EXIT_CODE);
        }
    }

    private void run() {
        EndpointSettings settings = EndpointSettings.read(Path.of(settingsFile));
        Faults faults = new Faults(settings.connectDelayMillis(), settings.connectionLimit());
        Map<String, Instance> instances = new LinkedHashMap<>();
        for (int slot : settings.slots()) {
            GroupId group = new GroupId(Checks.name("database", settings.database()), slot);
            boolean primary = settings.primarySlots().contains(slot);
            String name = settings.id() + "_" + slot;
            instances.put(
                    group.toString(), new Instance(group, name, settings.dataFolder(), primary));
        }
        PgServer server = new PgServer(settings.listen(), instances, settings.password(), faults);
        FaultServer faultServer = new FaultServer(settings.control(), faults);
        Announcer announcer = new Announcer(settings, instances.values(), faults, server.port());
        instances
                .values()
                .forEach(
                        instance ->
                                startReplication(instance, settings, faults, server, announcer));
        LOG.infof(
                "endpoint %s serves %s on port %d",
                settings.id(), instances.keySet(), server.port());
        ProcessLifetime.runUntilStopped(
                () -> {
                    announcer.announceDraining();
                    ProcessLifetime.pause(settings.drainMillis());
                    faultServer.close();
                    announcer.close();
                    server.close();
                });
    }

    private static void startReplication(
            Instance instance,
            EndpointSettings settings,
            Faults faults,
            PgServer server,
            Announcer announcer) {
        ReplicationReceiver receiver = new ReplicationReceiver(instance, settings.id(), faults);
        instance.setRoleListener(
                restarted -> {
                    receiver.onUpstreamChange();
                    if (restarted) {
                        server.disconnect(instance);
                    }
                    announcer.announceNow();
                });
    }
}
