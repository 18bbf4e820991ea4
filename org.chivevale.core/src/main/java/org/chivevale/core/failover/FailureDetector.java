package org.chivevale.core.failover;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.group.EndpointId;

/**
 * Failure detector for one group's primary, based on the reports of proxies.
 *
 * <p>Invariant: a primary is suspected only by more than half of the reporting proxies, and, when
 * these are in several data centres, from at least two of them. So a network partition between the
 * primary and some of the proxies doesn't make it suspected. Not thread safe.
 */
public final class FailureDetector {
    private final long reportTtlNanos;
    private final Map<String, Report> reports = new HashMap<>();

    private record Report(
            String dataCenter, EndpointId endpoint, long term, boolean suspect, long atNanos) {}

    /**
     * Creates a detector without reports.
     *
     * @param reportTtlNanos time after which a report expires
     */
    public FailureDetector(long reportTtlNanos) {
        this.reportTtlNanos = reportTtlNanos;
    }

    /**
     * Records a proxy's report, replacing its previous one.
     *
     * @param proxy the reporting proxy
     * @param dataCenter the proxy's data centre
     * @param endpoint the primary that the proxy probed
     * @param term the term that the proxy has in force
     * @param suspect true when the primary did not respond to the proxy
     * @param nowNanos the monotonic time
     */
    public void report(
            String proxy,
            String dataCenter,
            EndpointId endpoint,
            long term,
            boolean suspect,
            long nowNanos) {
        reports.put(proxy, new Report(dataCenter, endpoint, term, suspect, nowNanos));
    }

    /**
     * Tells whether the primary is suspected to have failed.
     *
     * @param endpoint the primary
     * @param term its term
     * @param nowNanos the monotonic time
     * @return true when enough proxies in enough data centres cannot reach it
     */
    public boolean isSuspected(EndpointId endpoint, long term, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.atNanos() > reportTtlNanos);
        int reporting = 0;
        int suspecting = 0;
        Set<String> reportingDataCenters = new HashSet<>();
        Set<String> suspectingDataCenters = new HashSet<>();
        for (Report report : currentReports(endpoint, term)) {
            reporting++;
            reportingDataCenters.add(report.dataCenter());
            if (report.suspect()) {
                suspecting++;
                suspectingDataCenters.add(report.dataCenter());
            }
        }
        boolean majority = suspecting * 2 > reporting;
        boolean acrossDataCenters =
                reportingDataCenters.size() < 2 || suspectingDataCenters.size() >= 2;
        return reporting > 0 && majority && acrossDataCenters;
    }

    /**
     * Tells whether a proxy has recently been served by the primary.
     *
     * @param endpoint the primary
     * @param term its term
     * @param nowNanos the monotonic time
     * @return true when a report that has not expired says that the primary responds
     */
    public boolean isHealthy(EndpointId endpoint, long term, long nowNanos) {
        return currentReports(endpoint, term).stream()
                .anyMatch(
                        report ->
                                !report.suspect() && nowNanos - report.atNanos() <= reportTtlNanos);
    }

    private Collection<Report> currentReports(EndpointId endpoint, long term) {
        return reports.values().stream()
                .filter(report -> report.endpoint().equals(endpoint) && report.term() == term)
                .toList();
    }
}
