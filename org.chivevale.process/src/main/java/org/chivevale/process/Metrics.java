package org.chivevale.process;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;

/**
 * Holds the meters of a process and exports them in Prometheus' text format.
 *
 * <p>Thread safe.
 */
public final class Metrics implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "metrics";

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    private boolean measuresProcess;

    @Override
    public void start(Kernel kernel) {}

    /**
     * Returns the registry in which services create their meters.
     *
     * @return the registry of this process
     */
    public MeterRegistry registry() {
        return registry;
    }

    /**
     * Exports the current values of all meters.
     *
     * @return Prometheus' text format, version 0.0.4
     */
    public synchronized String scrape() {
        measureProcess();
        return registry.scrape();
    }

    /** Adds the meters of memory and processor, which a start need not wait for. */
    private void measureProcess() {
        if (measuresProcess) {
            return;
        }
        measuresProcess = true;
        new JvmMemoryMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
    }
}
