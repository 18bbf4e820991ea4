package org.chivevale.control;

import java.nio.file.Path;
import org.chivevale.core.settings.HostPort;

/** Settings of a control process that runs alone in a test. Stateless and thread safe. */
public final class SingleControl {
    private static final int LEASE_MILLIS = 2500;
    private static final int CLOCK_DRIFT_PARTS_PER_MILLION = 1000;
    private static final int CONNECTION_FLOOR = 1;

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
                null,
                new ControlSettings.Warmup(1.5, 5));
    }
}
