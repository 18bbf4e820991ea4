package org.chivevale.control;

import java.nio.file.Path;
import org.chivevale.core.settings.HostPort;

/** Settings of a control process that runs alone in a test. Stateless and thread safe. */
public final class SingleControl {
    private static final int LEASE_MILLIS = 2500;
    private static final int CLOCK_DRIFT_PARTS_PER_MILLION = 1000;
    private static final int CONNECTION_FLOOR = 1;
    private static final int SNAPSHOT_EVERY = 1000;

    private SingleControl() {}

    /**
     * Returns the settings.
     *
     * @param listen address for administration and for other processes; port 0 for any port
     * @param folder the data folder
     * @param snapshotEvery number of log entries between two snapshots
     * @return settings without replication
     */
    public static ControlSettings settings(HostPort listen, Path folder, int snapshotEvery) {
        return create(listen, folder, snapshotEvery, null);
    }

    /**
     * Returns the settings of a process that replicates its log.
     *
     * @param listen address for administration and for other processes
     * @param folder the data folder
     * @param replication the seeds and the number of voters
     * @return settings with replication
     */
    public static ControlSettings replicated(
            HostPort listen, Path folder, ControlSettings.Replication replication) {
        return create(listen, folder, SNAPSHOT_EVERY, replication);
    }

    private static ControlSettings create(
            HostPort listen,
            Path folder,
            int snapshotEvery,
            ControlSettings.Replication replication) {
        return new ControlSettings(
                "control-1",
                "region",
                "data-centre",
                listen,
                listen,
                folder,
                "",
                "",
                LEASE_MILLIS,
                CLOCK_DRIFT_PARTS_PER_MILLION,
                CONNECTION_FLOOR,
                0,
                snapshotEvery,
                replication,
                new ControlSettings.Warmup(1.5, 5));
    }
}
