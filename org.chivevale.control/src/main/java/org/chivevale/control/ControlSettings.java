package org.chivevale.control;

import java.nio.file.Path;
import java.util.List;
import org.chivevale.core.settings.HostPort;
import org.chivevale.core.settings.Settings;

/**
 * Settings of a control process.
 *
 * <p>Immutable.
 *
 * @param id the process's name
 * @param region the process's region
 * @param dataCenter the process's data centre
 * @param adminListen listen address of the administration API, for operators and endpoints
 * @param wireListen listen address for proxies and other control processes
 * @param dataFolder folder of the log and its snapshot
 * @param operatorKey key of the first operator, used only while the configuration is empty
 * @param databasePassword password of the login role at endpoints
 * @param leaseMillis duration of the proxies' leases
 * @param clockDriftPartsPerMillion maximum drift between the clocks of two VMs
 * @param connectionFloor minimum number of connections that each proxy gets to each instance
 * @param sharedBelow an endpoint gets connection hosts when its connection limit is below this many
 *     times the number of proxies; 0 for none
 * @param snapshotEvery number of log entries after which a snapshot is written
 * @param replication settings of the replicated log; null for a deployment with one process
 * @param warmup limits on requests to cold endpoints
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
        double sharedBelow,
        int snapshotEvery,
        Replication replication,
        Warmup warmup) {
    /**
     * Settings of a replicated log.
     *
     * @param first true to bootstrap the log when the deployment starts with empty data folders
     * @param seeds where other control processes receive messages of the log; a process without any
     *     waits until the settings name some
     * @param voters wanted number of voters
     */
    public record Replication(boolean first, List<HostPort> seeds, int voters) {
        public Replication {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * By how much one second may exceed the warm-up rate of a cold endpoint.
     *
     * @param overshoot factor of the rate
     * @param slack number of requests on top
     */
    public record Warmup(double overshoot, double slack) {}

    private static final double DEFAULT_WARMUP_OVERSHOOT = 1.5;
    private static final double DEFAULT_WARMUP_SLACK = 5;
    private static final double MAX_WARMUP_OVERSHOOT = 100;
    private static final double MAX_WARMUP_SLACK = 100_000;
    private static final int DEFAULT_LEASE_MILLIS = 2500;
    private static final int DEFAULT_DRIFT_PPM = 1000;
    private static final int DEFAULT_CONNECTION_FLOOR = 1;
    private static final int DEFAULT_SNAPSHOT_EVERY = 1000;
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_VOTERS = 5;
    private static final int MAX_VOTERS = 9;
    private static final int MAX_LEASE_MILLIS = 30_000;
    private static final int MAX_DRIFT_PPM = 100_000;
    private static final double MAX_SHARED_BELOW = 1000;

    /**
     * Reads a settings file and rejects unknown settings.
     *
     * @param path the settings file
     * @return the settings
     */
    public static ControlSettings read(Path path) {
        Settings in = Settings.read(path);
        ControlSettings settings = read(in);
        in.check();
        return settings;
    }

    /**
     * Reads the settings of a control process from a file that may contain further settings.
     *
     * @param in the file; the caller calls its check once it has read all settings
     * @return the settings
     */
    public static ControlSettings read(Settings in) {
        boolean operatorApi = in.flag("operator_api", true);
        return new ControlSettings(
                in.text("id", "a name"),
                in.text("region", "a name"),
                in.text("data_center", "a name"),
                in.address("admin_listen"),
                in.address("wire_listen"),
                Path.of(in.text("data_folder", "a folder")),
                operatorApi ? in.text("operator_key", "a key made by 'chivevalectl new-key'") : "",
                operatorApi ? in.text("database_password", "a text") : "",
                in.number("lease_ms", DEFAULT_LEASE_MILLIS, 200, MAX_LEASE_MILLIS),
                in.number("clock_drift_ppm", DEFAULT_DRIFT_PPM, 0, MAX_DRIFT_PPM),
                in.number("connection_floor", DEFAULT_CONNECTION_FLOOR, 0, 1000),
                in.decimal("connections.shared_below", 0, 0, MAX_SHARED_BELOW),
                in.number("snapshot_every", DEFAULT_SNAPSHOT_EVERY, 1, 1_000_000),
                replication(in),
                new Warmup(
                        in.decimal(
                                "warmup.overshoot",
                                DEFAULT_WARMUP_OVERSHOOT,
                                0,
                                MAX_WARMUP_OVERSHOOT),
                        in.decimal("warmup.slack", DEFAULT_WARMUP_SLACK, 0, MAX_WARMUP_SLACK)));
    }

    /**
     * Reads the settings again while the process runs.
     *
     * @param in the file, which may contain further settings
     * @return the settings
     */
    public static ControlSettings reread(Settings in) {
        ControlSettings settings = read(in);
        in.checkValues();
        return settings;
    }

    private static Replication replication(Settings in) {
        int port = in.number("replication.port", 0, 0, MAX_PORT);
        List<HostPort> seeds =
                in.addresses("replication.seeds").stream()
                        .map(seed -> port == 0 ? seed : new HostPort(seed.host(), port))
                        .toList();
        boolean first = in.flag("replication.first", false);
        int voters = in.number("replication.voters", DEFAULT_VOTERS, 1, MAX_VOTERS);
        return in.has("replication") ? new Replication(first, seeds, voters) : null;
    }
}
