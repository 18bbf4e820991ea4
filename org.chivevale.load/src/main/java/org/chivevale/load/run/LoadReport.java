package org.chivevale.load.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.chivevale.load.check.HistoryChecker;
import org.chivevale.load.check.StoredRow;
import org.chivevale.load.check.Violation;

/**
 * The measurements of a run and the violated guarantees found in its history.
 *
 * <p>Immutable.
 */
public final class LoadReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MICROS_PER_MILLI = 1000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int VIOLATIONS_SHOWN = 20;

    private final ObjectNode json;
    private final List<Violation> violations;

    private LoadReport(ObjectNode json, List<Violation> violations) {
        this.json = json;
        this.violations = violations;
    }

    /**
     * Computes the measurements of a run that has ended, and checks its history.
     *
     * @param plan the parameters of the run
     * @param run the run
     * @param stored the rows in the database after the run
     * @return the report
     */
    public static LoadReport of(LoadPlan plan, LoadRun run, List<StoredRow> stored) {
        List<Violation> violations = new HistoryChecker(run.history(), stored).findViolations();
        ObjectNode json = MAPPER.createObjectNode();
        json.put("seed", plan.seed());
        json.put("duration_ms", plan.durationMillis());
        addMeasurements(json, plan, run);
        addAccounts(json.putArray("accounts"), run);
        json.put("writes_checked", run.history().writes().size());
        json.put("reads_checked", run.history().reads().size());
        json.put("violations", violations.size());
        ArrayNode shown = json.putArray("violations_shown");
        violations.stream()
                .limit(VIOLATIONS_SHOWN)
                .forEach(one -> shown.add(one.rule() + ": " + one.detail()));
        return new LoadReport(json, violations);
    }

    private static void addMeasurements(ObjectNode json, LoadPlan plan, LoadRun run) {
        long aged = 0;
        long agedReplica = 0;
        long session = 0;
        long sessionReplica = 0;
        long wrongful = 0;
        for (AccountResult one : run.results().values()) {
            aged += one.agedReads();
            agedReplica += one.agedReplicaReads();
            session += one.sessionReads();
            sessionReplica += one.sessionReplicaReads();
            wrongful += one.wrongfulRefusals();
        }
        long longestGapNanos = 0;
        for (int slot = 0; slot < plan.slots(); slot++) {
            longestGapNanos = Math.max(longestGapNanos, run.gaps().longestNanos(slot));
        }
        json.put("replica_share_aged_reads", share(agedReplica, aged));
        json.put("replica_share_session_reads", share(sessionReplica, session));
        json.put("longest_write_gap_ms", longestGapNanos / NANOS_PER_MILLI);
        json.put("wrongful_refusals", wrongful);
        String worstAccount = "";
        double worstShare = 1.1;
        for (LoadPlan.AccountLoad account : plan.accounts()) {
            double within = run.results().get(account.name()).shareWithinObjective();
            if (account.withinRate() && within < worstShare) {
                worstAccount = account.name();
                worstShare = within;
            }
        }
        json.put("worst_served_account", worstAccount);
        json.put("worst_served_share_within_objective", worstShare);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    private static void addAccounts(ArrayNode accounts, LoadRun run) {
        for (Map.Entry<String, AccountResult> entry : run.results().entrySet()) {
            AccountResult result = entry.getValue();
            Histogram latency = result.latencyMicros();
            ObjectNode one = accounts.addObject();
            one.put("account", entry.getKey());
            one.put("operations", result.operations());
            one.put("share_within_objective", result.shareWithinObjective());
            one.put("p50_ms", latency.getValueAtPercentile(50) / MICROS_PER_MILLI);
            one.put("p99_ms", latency.getValueAtPercentile(99) / MICROS_PER_MILLI);
            one.put("max_ms", latency.getMaxValue() / MICROS_PER_MILLI);
            one.put("wrongful_refusals", result.wrongfulRefusals());
            one.put("unknown_writes", result.unknownWrites());
            ObjectNode codes = one.putObject("codes");
            result.codes().forEach((code, count) -> codes.put(String.valueOf(code), count));
        }
    }

    /**
     * Returns the report as JSON.
     *
     * @return a JSON object
     */
    public ObjectNode json() {
        return json;
    }

    /**
     * Returns the violated guarantees.
     *
     * @return violations; empty when all guarantees were kept
     */
    public List<Violation> violations() {
        return violations;
    }

    /**
     * Formats the report as text.
     *
     * @return several lines, with a line break at the end
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "replica share: reads with accepted age %.1f %%, session reads %.1f %%%n"
                                + "longest gap in acknowledged writes: %.0f ms%n"
                                + "lowest share within the latency objective: %s, %.2f %%%n"
                                + "rejected requests within the rate limit: %d%n",
                        100 * json.path("replica_share_aged_reads").asDouble(),
                        100 * json.path("replica_share_session_reads").asDouble(),
                        json.path("longest_write_gap_ms").asDouble(),
                        json.path("worst_served_account").asText(),
                        100 * json.path("worst_served_share_within_objective").asDouble(),
                        json.path("wrongful_refusals").asLong()));
        json.path("accounts")
                .forEach(
                        one ->
                                text.append(
                                        String.format(
                                                Locale.ROOT,
                                                "  %-12s %7d operations, p50 %6.2f ms, p99 %7.2f"
                                                        + " ms, max %7.1f ms, result codes %s%n",
                                                one.path("account").asText(),
                                                one.path("operations").asLong(),
                                                one.path("p50_ms").asDouble(),
                                                one.path("p99_ms").asDouble(),
                                                one.path("max_ms").asDouble(),
                                                one.path("codes"))));
        text.append(
                String.format(
                        "checked %d writes and %d reads: %d violations%n",
                        json.path("writes_checked").asLong(),
                        json.path("reads_checked").asLong(),
                        violations.size()));
        violations.stream()
                .limit(VIOLATIONS_SHOWN)
                .forEach(
                        one ->
                                text.append("  ")
                                        .append(one.rule())
                                        .append(": ")
                                        .append(one.detail())
                                        .append('\n'));
        return text.toString();
    }
}
