package org.chivevale.core.route;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.EvacuationChanges;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.lease.LeaseHolder;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.LogEntry;

/**
 * Plays one proxy whose renewals are delayed, lost, or stop for seconds, while a data centre is
 * evacuated and restored.
 *
 * <p>Guards against a statement, also one of an open transaction, that a proxy with a lease sends
 * later than 5,000 ms after an order was acknowledged: above all by a proxy that learns of the
 * order only when it gets a new lease.
 */
class EvacuationBoundProperties {
    private static final long MILLI = 1_000_000;
    private static final long LEASE_NANOS = 2_500 * MILLI;
    private static final long RENEWAL_NANOS = 700 * MILLI;
    private static final long STEP_NANOS = 10 * MILLI;
    private static final long BOUND_NANOS = 5_000 * MILLI;
    private static final String DATA_CENTER = "a";
    private static final GroupId GROUP = new GroupId("db", 0);
    private static final EndpointId ENDPOINT = new EndpointId("i-0");

    /** A renewal on its way back: what the leader had when it answered. */
    private record Answer(long sentAtNanos, long arrivesAtNanos, List<LogEntry> entries) {}

    private final Configuration control = new Configuration();
    private final List<LogEntry> log = new ArrayList<>();
    private final Configuration configuration = new Configuration();
    private final EndpointAvailability availability = new EndpointAvailability(configuration);
    private final LeaseHolder lease = new LeaseHolder(0);
    private long evacuatedAtNanos = -1;

    @Property(tries = 500, seed = "20261205")
    void noProxyWithALeaseSendsAnythingThereAfterTheBound(@ForAll long seed) {
        new EvacuationBoundProperties().play(new Random(seed));
    }

    private void play(Random random) {
        availability.setMembers(
                List.of(
                        EndpointMember.newBuilder()
                                .setEndpointId(ENDPOINT.value())
                                .setGroupId(GROUP.toString())
                                .setDataCenter(DATA_CENTER)
                                .build()));
        Answer answer = null;
        long nextRenewalNanos = 0;
        for (long now = 0; now < 60_000 * MILLI; now += STEP_NANOS) {
            if (random.nextInt(1_000) == 0) {
                giveOrder(now);
            }
            if (answer == null && now >= nextRenewalNanos) {
                long delayNanos = random.nextInt(400) * MILLI;
                answer = new Answer(now, now + delayNanos, List.copyOf(log));
                boolean stops = random.nextInt(10) == 0;
                nextRenewalNanos = now + (stops ? random.nextInt(9_000) * MILLI : RENEWAL_NANOS);
            } else if (answer != null && now >= answer.arrivesAtNanos()) {
                if (random.nextInt(5) != 0) {
                    receive(answer, now);
                }
                answer = null;
            }
            boolean mayBeUsed =
                    availability.isOpen(GROUP, ENDPOINT)
                            || availability.mayContinue(GROUP, ENDPOINT, now);
            boolean isPastBound = evacuatedAtNanos >= 0 && now - evacuatedAtNanos >= BOUND_NANOS;
            assertFalse(isPastBound && lease.isValid(now) && mayBeUsed, "used at " + now);
        }
    }

    private void giveOrder(long now) {
        boolean evacuates = evacuatedAtNanos < 0;
        List<Change> changes =
                evacuates
                        ? EvacuationChanges.evacuate(control, DATA_CENTER, "op", now)
                        : EvacuationChanges.restore(control, DATA_CENTER);
        LogEntry entry =
                LogEntry.newBuilder()
                        .setVersion(control.version() + 1)
                        .addAllChanges(changes)
                        .build();
        control.apply(entry);
        log.add(entry);
        evacuatedAtNanos = evacuates ? now : -1;
    }

    /** Applies an answer as the proxy does: first the configuration, then the lease. */
    private void receive(Answer answer, long now) {
        long learnedAtNanos = lease.lastValidNanos(now);
        answer.entries().forEach(configuration::apply);
        availability.onConfigurationChange(learnedAtNanos);
        lease.onGranted(answer.sentAtNanos(), LEASE_NANOS);
    }
}
