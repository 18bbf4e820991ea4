package org.chivevale.control.internal.fleet;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Evacuation;
import org.chivevale.core.lease.LeaseGrantor;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.LogEntry;
import org.jboss.logging.Logger;

/**
 * Tracks on how many proxies each evacuation is in force, for status, metrics and the log.
 *
 * <p>Invariant: an evacuation counts as in force only once no proxy with a lease can act on an
 * older configuration; after a change of leader that is determined again. Used on the event loop.
 */
public final class EvacuationTracker {
    private static final Logger LOG = Logger.getLogger(EvacuationTracker.class);

    /** Least time between two log lines about one evacuation while its proxies follow. */
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    private final Configuration configuration;
    private final Map<String, Tracked> trackedByDataCenter = new TreeMap<>();
    private MultiGauge proxiesInForce;
    private MultiGauge proxies;

    /**
     * How far an evacuation has spread.
     *
     * @param evacuation the order
     * @param version the configuration version that proxies must have; of a snapshot when the
     *     order's own is not known
     * @param inForceUnixMillis wall-clock time since which it is in force everywhere; 0 until then
     * @param proxiesInForce proxies with a lease that have acknowledged it
     * @param proxies proxies with a lease
     */
    public record Progress(
            Evacuation evacuation,
            long version,
            long inForceUnixMillis,
            int proxiesInForce,
            int proxies) {
        /**
         * Formats the progress for operators.
         *
         * @return such as {@code in force on 3 of 5 proxies}
         */
        public String text() {
            return "in force on " + proxiesInForce + " of " + proxies + " proxies";
        }
    }

    /** The latest progress of one evacuation, and what was logged. */
    private static final class Tracked {
        Progress progress;
        String loggedText = "";
        long loggedAtNanos;

        Tracked(Progress progress) {
            this.progress = progress;
        }
    }

    /**
     * Creates a tracker.
     *
     * @param configuration contains the evacuations
     */
    public EvacuationTracker(Configuration configuration) {
        this.configuration = configuration;
    }

    void registerMeters(MeterRegistry registry) {
        proxiesInForce =
                MultiGauge.builder("chivevale.control.evacuation.proxies.in.force")
                        .register(registry);
        proxies = MultiGauge.builder("chivevale.control.evacuation.proxies").register(registry);
    }

    /** Determines again what is in force, since a new leader has not granted any lease. */
    void reset() {
        trackedByDataCenter.clear();
        update(List.of());
    }

    /** Updates the evacuations after entries were applied. */
    void update(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            for (Change change : entry.getChangesList()) {
                if (change.hasEvacuationRemoved()) {
                    String dataCenter = change.getEvacuationRemoved().getDataCenter();
                    trackedByDataCenter.remove(dataCenter);
                    LOG.infof(
                            "evacuation of %s withdrawn by %s: version %d",
                            dataCenter, entry.getOperatorId(), entry.getVersion());
                } else if (change.hasEvacuationPut()) {
                    track(change.getEvacuationPut().getDataCenter(), entry.getVersion());
                }
            }
        }
        trackedByDataCenter.keySet().removeIf(name -> !configuration.isEvacuated(name));
        for (Evacuation evacuation : configuration.evacuations()) {
            if (!trackedByDataCenter.containsKey(evacuation.dataCenter())) {
                track(evacuation.dataCenter(), configuration.version());
            }
        }
        updateMeters();
    }

    private void track(String dataCenter, long version) {
        for (Evacuation evacuation : configuration.evacuations()) {
            if (evacuation.dataCenter().equals(dataCenter)) {
                trackedByDataCenter.put(
                        dataCenter, new Tracked(new Progress(evacuation, version, 0, 0, 0)));
            }
        }
    }

    /** Counts the proxies that follow, and logs each change. */
    void tick(LeaseGrantor leases, long nowNanos, long nowUnixMillis) {
        boolean changed = false;
        for (Tracked tracked : trackedByDataCenter.values()) {
            Progress before = tracked.progress;
            tracked.progress = advance(before, leases, nowNanos, nowUnixMillis);
            changed |= !tracked.progress.equals(before);
            log(tracked, before.inForceUnixMillis() == 0, nowNanos);
        }
        if (changed) {
            updateMeters();
        }
    }

    private static Progress advance(
            Progress before, LeaseGrantor leases, long nowNanos, long nowUnixMillis) {
        int holders = leases.holders(nowNanos).size();
        int behind = leases.findHoldersBehind(before.version(), nowNanos).size();
        boolean inForce = leases.isInForce(before.version(), nowNanos);
        long since = before.inForceUnixMillis();
        return new Progress(
                before.evacuation(),
                before.version(),
                since == 0 && inForce ? nowUnixMillis : since,
                holders - behind,
                holders);
    }

    private static void log(Tracked tracked, boolean wasPending, long nowNanos) {
        Progress progress = tracked.progress;
        boolean isNowInForce = wasPending && progress.inForceUnixMillis() != 0;
        boolean isDue = nowNanos - tracked.loggedAtNanos >= LOG_INTERVAL_NANOS;
        boolean isFirst = tracked.loggedText.isEmpty();
        boolean isNew = !progress.text().equals(tracked.loggedText) && (isDue || isFirst);
        if (!isNowInForce && !isNew) {
            return;
        }
        tracked.loggedText = progress.text();
        tracked.loggedAtNanos = nowNanos;
        LOG.infof(
                "evacuation of %s by %s: %s, %s",
                progress.evacuation().dataCenter(),
                progress.evacuation().operatorId(),
                progress.text(),
                progress.inForceUnixMillis() == 0 ? "not yet everywhere" : "everywhere");
    }

    private void updateMeters() {
        if (proxies == null) {
            return;
        }
        List<MultiGauge.Row<?>> inForceRows = new ArrayList<>();
        List<MultiGauge.Row<?>> rows = new ArrayList<>();
        for (Progress progress : progress()) {
            Tags tags = Tags.of("data_center", progress.evacuation().dataCenter());
            inForceRows.add(MultiGauge.Row.of(tags, progress.proxiesInForce()));
            rows.add(MultiGauge.Row.of(tags, progress.proxies()));
        }
        proxiesInForce.register(inForceRows, true);
        proxies.register(rows, true);
    }

    /**
     * Lists the evacuations.
     *
     * @return by data centre
     */
    public List<Progress> progress() {
        return trackedByDataCenter.values().stream().map(tracked -> tracked.progress).toList();
    }
}
