package org.chivevale.process;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;

/**
 * The metrics of a process in Prometheus' text format.
 *
 * <p>Thread safe.
 */
public final class Metrics implements Service {
    /** Name in the kernel. */
    public static final String NAME = "metrics";

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    @Override
    public void start(Kernel kernel) {
        new JvmMemoryMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
    }

    /**
     * Returns where meters are registered.
     *
     * @return the registry
     */
    public MeterRegistry registry() {
        return registry;
    }

    /**
     * Writes all meters.
     *
     * @return Prometheus' text format, version 0.0.4
     */
    public String scrape() {
        return registry.scrape();
    }
}
