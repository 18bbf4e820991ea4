package org.chivevale.proxy.internal.session;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivevale.core.admission.Rejection;

/**
 * Metrics of the requests that wait for a connection and of those that are rejected.
 *
 * <p>The number of urgency classes with a gauge of their own is bounded; further ones share a
 * gauge. Written on the event loop; gauges are read on any thread.
 */
final class AdmissionMetrics {
    private static final int MAX_CLASSES = 16;
    private static final String OTHER = "other";

    private final MeterRegistry registry;
    private final Map<String, AtomicInteger> lengths = new ConcurrentHashMap<>();

    AdmissionMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    void recordRejection(Rejection.Reason reason) {
        registry.counter("chivevale.proxy.session.queue.rejected", "reason", reason.name())
                .increment();
    }

    /** Sets the queue lengths of all pools together, by urgency class. */
    void setLengths(SortedMap<Integer, Integer> waiting) {
        Map<String, Integer> byTag = new TreeMap<>();
        waiting.forEach((priority, length) -> byTag.merge(tag(priority), length, Integer::sum));
        byTag.keySet().forEach(this::gauge);
        lengths.forEach((tag, length) -> length.set(byTag.getOrDefault(tag, 0)));
    }

    private String tag(int priority) {
        String tag = Integer.toString(priority);
        return lengths.containsKey(tag) || lengths.size() < MAX_CLASSES ? tag : OTHER;
    }

    private void gauge(String tag) {
        lengths.computeIfAbsent(
                tag,
                key ->
                        registry.gauge(
                                "chivevale.proxy.session.queue.length",
                                Tags.of("priority", key),
                                new AtomicInteger()));
    }
}
