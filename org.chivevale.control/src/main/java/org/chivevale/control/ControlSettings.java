package org.chivevale.control;

import java.nio.file.Path;
import org.chivevale.core.settings.HostPort;
import org.chivevale.core.settings.Settings;

/**
 * Settings of a control process.
 *
 * <p>Immutable.
 *
 * @param id the process's name
 * @param region where it stands
 * @param dataCenter where it stands
 * @param adminListen where operators and endpoints call
 * @param wireListen where proxies and other control processes connect
 * @param dataFolder where its state is kept
 * @param operatorKey the first operator's key, used when the data folder is empty
 * @param databasePassword password of the login role at endpoints
 * @param leaseMillis length of the fleet lease
 * @param clockDriftPartsPerMillion how far two VMs' clocks may drift apart
 * @param connectionFloor connections that each proxy gets to each instance
 * @param snapshotEvery log entries between two snapshots
 */
public record ControlSettings(
        String id,
        String region,
        String dataCenter,
        HostPort adminListen,
        HostPort wireListen,
        Path dataFolder,
        String operatorKey,
        String databasePassword,
        int leaseMillis,
        int clockDriftPartsPerMillion,
        int connectionFloor,
        int snapshotEvery) {
    private static final int DEFAULT_LEASE_MILLIS = 2500;
    private static final int DEFAULT_DRIFT = 1000;
    private static final int DEFAULT_FLOOR = 1;
    private static final int DEFAULT_SNAPSHOT_EVERY = 1000;
    private static final int MAX_LEASE_MILLIS = 30_000;
    private static final int MAX_DRIFT = 100_000;

    /**
     * Reads and checks a file.
     *
     * @param path the file
     * @return the settings
     */
    public static ControlSettings read(Path path) {
        Settings in = Settings.read(path);
        ControlSettings settings =
                new ControlSettings(
                        in.text("id", "a name"),
                        in.text("region", "a name"),
                        in.text("data_center", "a name"),
                        in.address("admin_listen"),
                        in.address("wire_listen"),
                        Path.of(in.text("data_folder", "a folder")),
                        in.text("operator_key", "a key made by 'chivevalectl new-key'"),
                        in.text("database_password", "a text"),
                        in.number("lease_ms", DEFAULT_LEASE_MILLIS, 200, MAX_LEASE_MILLIS),
                        in.number("clock_drift_ppm", DEFAULT_DRIFT, 0, MAX_DRIFT),
                        in.number("connection_floor", DEFAULT_FLOOR, 0, 1000),
                        in.number("snapshot_every", DEFAULT_SNAPSHOT_EVERY, 1, 1_000_000));
        in.check();
        return settings;
    }
}
