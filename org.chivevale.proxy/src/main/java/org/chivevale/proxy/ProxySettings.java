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
 * @param id the process's name
 * @param region where it stands
 * @param dataCenter where it stands
 * @param listen where callers connect
 * @param forwardListen where other proxies connect
 * @param control where control processes are reached
 * @param databasePassword password of the login role at endpoints
 * @param timing times and periods
 * @param limits limits on what callers may make large
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
     * Times and periods.
     *
     * @param renewMillis time between two renewals of the lease
     * @param leaseMarginMillis taken off each lease for clock drift and pauses
     * @param statementTimeoutMillis how long an endpoint may take for one attempt
     * @param connectTimeoutMillis how long a new connection may take
     * @param defaultDeadlineMillis time for a request that names no deadline
     * @param maxDeadlineMillis the longest deadline that a request may name
     * @param transactionMillis how long an interactive transaction may take
     * @param transactionIdleMillis how long it may wait for its next statement
     * @param probeMillis time between two probes of a primary
     * @param suspectAfterMillis silence after which a primary is suspected
     * @param firstLeaseWaitMillis how long a session's start waits for the process's first lease
     * @param ratePatienceMillis how long a request waits for its account's rate
     * @param readWaitMillis how long a read waits for a replica to catch up
     * @param primarySurchargeMillis what a read at the primary counts above its expected time
     * @param drainNoticeMillis how long a stopping proxy serves on after its health says so
     * @param drainMillis how long a stopping proxy waits for running requests
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
            int ratePatienceMillis,
            int readWaitMillis,
            int primarySurchargeMillis,
            int drainNoticeMillis,
            int drainMillis) {}

    /**
     * Limits on what callers may make large.
     *
     * @param connections open connections of callers
     * @param bodyBytes size of a request's body
     * @param statements statements of a request
     * @param statementBytes size of one statement with its parameters
     * @param rows rows of an answer
     * @param answerBytes size of an answer's rows
     * @param storedAnswerBytes size of the answer of a request that is recorded
     * @param queuedPerAccount waiting requests of a client account at one endpoint instance
     * @param transactionsPerAccount open transactions of a client account at this proxy
     */
    public record Limits(
            int connections,
            int bodyBytes,
            int statements,
            int statementBytes,
            int rows,
            int answerBytes,
            int storedAnswerBytes,
            int queuedPerAccount,
            int transactionsPerAccount) {}

    private static final HostPort NO_ADDRESS = new HostPort("0.0.0.0", 0);
    private static final int MAX_PORT = 65_535;
    private static final int MINUTE_MILLIS = 60_000;
    private static final int MEGABYTE = 1 << 20;

    /**
     * Reads and checks a file.
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
     * Reads the settings of a proxy from a file that may hold more.
     *
     * @param in the file; the caller checks it when everything is read
     * @return the settings
     */
    public static ProxySettings read(Settings in) {
        List<HostPort> control = in.addresses("control");
        if (control.isEmpty()) {
            in.reject("control", null, "a list of \"IP:PORT\", one at least");
        }
        boolean http = in.flag("http_api", true);
        return new ProxySettings(
                in.text("id", "a name"),
                in.text("region", "a name"),
                in.text("data_center", "a name"),
                http ? in.address("listen") : NO_ADDRESS,
                http ? in.address("forward_listen") : NO_ADDRESS,
                onPort(control, in.number("control_port", 0, 0, MAX_PORT)),
                http ? in.text("database_password", "a text") : "",
                timing(in),
                limits(in));
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
