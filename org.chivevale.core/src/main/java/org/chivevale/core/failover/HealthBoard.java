package org.chivevale.core.failover;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.group.EndpointId;

/**
 * What proxies report of one group's primary.
 *
 * <p>Invariant: suspicion needs more than half of the proxies that report, and more than one data
 * centre wherever reporting proxies stand in more than one. So a primary that only some proxies
 * can't reach is not suspected. Not thread safe.
 */
public final class HealthBoard {
    private final long reportLifeNanos;
    private final Map<String, Report> reports = new HashMap<>();

    private record Report(
            String dataCenter, EndpointId endpoint, long term, boolean suspect, long atNanos) {}

    /**
     * Creates an empty board.
     *
     * @param reportLifeNanos how long a report counts
     */
    public HealthBoard(long reportLifeNanos) {
        this.reportLifeNanos = reportLifeNanos;
    }

    /**
     * Takes a report.
     *
     * @param proxy who reports
     * @param dataCenter where the proxy stands
     * @param endpoint the primary it tried
     * @param term the term it has in force
     * @param suspect true when the primary did not answer it
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
     * Tells whether the primary is suspected.
     *
     * @param endpoint the primary
     * @param term its term
     * @param nowNanos the monotonic time
     * @return true when enough proxies in enough data centres can't reach it
     */
    public boolean suspected(EndpointId endpoint, long term, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.atNanos() > reportLifeNanos);
        int reporting = 0;
        int suspecting = 0;
        Set<String> reportingCenters = new HashSet<>();
        Set<String> suspectingCenters = new HashSet<>();
        for (Report report : current(endpoint, term)) {
            reporting++;
            reportingCenters.add(report.dataCenter());
            if (report.suspect()) {
                suspecting++;
                suspectingCenters.add(report.dataCenter());
            }
        }
        boolean majority = suspecting * 2 > reporting;
        boolean spread = reportingCenters.size() < 2 || suspectingCenters.size() >= 2;
        return reporting > 0 && majority && spread;
    }

    private Collection<Report> current(EndpointId endpoint, long term) {
        return reports.values().stream()
                .filter(report -> report.endpoint().equals(endpoint) && report.term() == term)
                .toList();
    }
}
