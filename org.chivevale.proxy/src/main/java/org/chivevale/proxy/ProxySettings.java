package org.chivevale.proxy;

import java.nio.file.Path;
import java.util.List;
import org.chivevale.core.settings.HostPort;
import org.chivevale.core.settings.Settings;

/**
 * Settings of a proxy.
 *
 * <p>Immutable.
 *
 * @param id the proxy's id
 * @param region the region that it runs in
 * @param dataCenter the data centre that it runs in
 * @param listen the address on which callers connect
 * @param forwardListen the address on which other proxies connect; port 0 for none
 * @param control the addresses of the control processes
 * @param databasePassword password of the login role at endpoints
 * @param timing timeouts and intervals
 * @param limits resource limits on callers
 */
public record ProxySettings(
        String id,
        String region,
        String dataCenter,
        HostPort listen,
        HostPort forwardListen,
        List<HostPort> control,
        String databasePassword,
        Timing timing,
        Limits limits) {

    /**
     * Timeouts and intervals.
     *
     * @param renewMillis interval between two renewals of the lease
     * @param leaseMarginMillis by how much each lease is shortened for clock drift and pauses
     * @param statementTimeoutMillis how long an endpoint may take for one attempt
     * @param connectTimeoutMillis how long a new connection may take
     * @param defaultDeadlineMillis time for a request without a deadline
     * @param maxDeadlineMillis the longest deadline that a request may set
     * @param transactionMillis how long an interactive transaction may take
     * @param transactionIdleMillis how long it may wait for its next statement
     * @param probeMillis interval between two probes of a primary
     * @param suspectAfterMillis silence after which a primary is suspected
     * @param firstLeaseWaitMillis how long a new session waits for the process's first lease
     * @param maxRateWaitMillis how long a request waits for a token of its account's rate
     * @param readWaitMillis how long a read waits for a replica to catch up
     * @param primarySurchargeMillis cost added to the expected time of a read at the primary, which
     *     favours replicas
     * @param drainNoticeMillis how long a proxy that shuts down reports itself as not ready while
     *     it still serves callers
     * @param drainMillis how long a proxy that shuts down waits for running requests
     */
    public record Timing(
            int renewMillis,
            int leaseMarginMillis,
            int statementTimeoutMillis,
            int connectTimeoutMillis,
            int defaultDeadlineMillis,
            int maxDeadlineMillis,
            int transactionMillis,
            int transactionIdleMillis,
            int probeMillis,
            int suspectAfterMillis,
            int firstLeaseWaitMillis,
            int maxRateWaitMillis,
            int readWaitMillis,
            int primarySurchargeMillis,
            int drainNoticeMillis,
            int drainMillis) {}

    /**
     * Resource limits on callers.
     *
     * @param connections open connections of callers
     * @param bodyBytes size of a request's body
     * @param statements statements of a request
     * @param statementBytes size of one statement with its parameters
     * @param rows rows of a response
     * @param responseBytes size of a response's rows
     * @param storedResponseBytes size of a response that is stored with its request id
     * @param queuedPerAccount queued requests of a client account at one endpoint
     * @param transactionsPerAccount open transactions of a client account at this proxy
     */
    public record Limits(
            int connections,
            int bodyBytes,
            int statements,
            int statementBytes,
            int rows,
            int responseBytes,
            int storedResponseBytes,
            int queuedPerAccount,
            int transactionsPerAccount) {}

    private static final HostPort NO_ADDRESS = new HostPort("0.0.0.0", 0);
    private static final int MAX_PORT = 65_535;
    private static final int MINUTE_MILLIS = 60_000;
    private static final int MEGABYTE = 1 << 20;

    /**
     * Reads a settings file and rejects unknown or invalid keys.
     *
     * @param path the file
     * @return the settings
     */
    public static ProxySettings read(Path path) {
        Settings in = Settings.read(path);
        ProxySettings settings = read(in);
        in.check();
        return settings;
    }

    /**
     * Reads the settings of a proxy from a file that may contain other keys.
     *
     * @param in the file, which the caller must check after it has read all keys
     * @return the settings
     */
    public static ProxySettings read(Settings in) {
        List<HostPort> control = in.addresses("control");
        if (!in.has("control")) {
            in.reject("control", null, "a list of \"IP:PORT\"");
        }
        boolean http = in.flag("http_api", true);
        return new ProxySettings(
                in.text("id", "a name"),
                in.text("region", "a name"),
                in.text("data_center", "a name"),
                http ? in.address("listen") : NO_ADDRESS,
                http ? in.address("forward_listen") : in.address("forward_listen", NO_ADDRESS),
                onPort(control, in.number("control_port", 0, 0, MAX_PORT)),
                http ? in.text("database_password", "a text") : "",
                timing(in),
                limits(in));
    }

    /**
     * Reads the settings again while the process runs.
     *
     * @param in the file, which may contain other keys
     * @return the settings
     */
    public static ProxySettings reread(Settings in) {
        ProxySettings settings = read(in);
        in.checkValues();
        return settings;
    }

    private static List<HostPort> onPort(List<HostPort> addresses, int port) {
        if (port == 0) {
            return addresses;
        }
        return addresses.stream().map(address -> new HostPort(address.host(), port)).toList();
    }

    private static Timing timing(Settings in) {
        return new Timing(
                in.number("timing.renew_ms", 700, 20, MINUTE_MILLIS),
                in.number("timing.lease_margin_ms", 100, 0, MINUTE_MILLIS),
                in.number("timing.statement_timeout_ms", 1000, 10, MINUTE_MILLIS),
                in.number("timing.connect_timeout_ms", 500, 10, MINUTE_MILLIS),
                in.number("timing.default_deadline_ms", 5000, 1, MINUTE_MILLIS),
                in.number("timing.max_deadline_ms", 30_000, 1, 10 * MINUTE_MILLIS),
                in.number("timing.transaction_ms", 10_000, 10, 10 * MINUTE_MILLIS),
                in.number("timing.transaction_idle_ms", 5000, 10, 10 * MINUTE_MILLIS),
                in.number("timing.probe_ms", 150, 10, MINUTE_MILLIS),
                in.number("timing.suspect_after_ms", 700, 50, MINUTE_MILLIS),
                in.number("timing.first_lease_wait_ms", 700, 0, MINUTE_MILLIS),
                in.number("timing.rate_patience_ms", 100, 0, MINUTE_MILLIS),
                in.number("timing.read_wait_ms", 20, 0, MINUTE_MILLIS),
                in.number("timing.primary_surcharge_ms", 5, 0, MINUTE_MILLIS),
                in.number("timing.drain_notice_ms", 1000, 0, MINUTE_MILLIS),
                in.number("timing.drain_ms", 20_000, 0, 10 * MINUTE_MILLIS));
    }

    private static Limits limits(Settings in) {
        return new Limits(
                in.number("limits.connections", 10_000, 1, 1_000_000),
                in.number("limits.body_bytes", MEGABYTE, 1024, 64 * MEGABYTE),
                in.number("limits.statements", 100, 1, 10_000),
                in.number("limits.statement_bytes", 256 * 1024, 128, 64 * MEGABYTE),
                in.number("limits.rows", 10_000, 1, 10_000_000),
                in.number("limits.answer_bytes", 4 * MEGABYTE, 1024, 256 * MEGABYTE),
                in.number("limits.stored_answer_bytes", 64 * 1024, 1024, MEGABYTE),
                in.number("limits.queued_per_account", 200, 1, 100_000),
                in.number("limits.transactions_per_account", 4, 1, 10_000));
    }
}
