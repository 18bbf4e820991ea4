package org.chivevale.core.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class KernelTest {
    private final List<String> events = new ArrayList<>();

    private Service service(String name) {
        return new Service() {
            @Override
            public void start(Kernel kernel) {
                events.add("start " + name);
            }

            @Override
            public void drain() {
                events.add("drain " + name);
            }

            @Override
            public void stop() {
                events.add("stop " + name);
            }
        };
    }

    @Test
    void servicesStartAfterTheirDependenciesAndStopInReverseOrder() {
        Kernel kernel =
                new Kernel()
                        .register("http", service("http"), "pool")
                        .register("pool", service("pool"), "loop")
                        .register("loop", service("loop"));
        kernel.start();
        kernel.stop();
        kernel.stop();
        assertEquals(
                List.of(
                        "start loop",
                        "start pool",
                        "start http",
                        "drain http",
                        "drain pool",
                        "drain loop",
                        "stop http",
                        "stop pool",
                        "stop loop"),
                events);
    }

    @Test
    void aFailedStartStopsTheRunningServices() {
        Kernel kernel =
                new Kernel()
                        .register("loop", service("loop"))
                        .register(
                                "bad",
                                ignored -> {
                                    throw new IllegalStateException("bad");
                                },
                                "loop");
        assertThrows(IllegalStateException.class, kernel::start);
        assertEquals(List.of("start loop", "drain loop", "stop loop"), events);
    }

    @Test
    void unknownAndCyclicDependenciesAreErrors() {
        assertThrows(
                IllegalStateException.class,
                () -> new Kernel().register("a", service("a"), "b").start());
        assertThrows(
                IllegalStateException.class,
                () ->
                        new Kernel()
                                .register("a", service("a"), "b")
                                .register("b", service("b"), "a")
                                .start());
    }
}
