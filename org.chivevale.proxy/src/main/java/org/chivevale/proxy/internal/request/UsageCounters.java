package org.chivevale.proxy.internal.request;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.proxy.internal.fleet.RenewalParticipant;
import org.chivevale.wire.proto.AccountUse;
import org.chivevale.wire.proto.RenewRequest;

/**
 * Counts what callers got, in all and by client account.
 *
 * <p>Used on the event loop.
 */
public final class UsageCounters implements RenewalParticipant {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MeterRegistry registry;
    private final Map<ResultCode, Counter> byCode = new EnumMap<>(ResultCode.class);
    private final Map<ClientAccountId, Use> uses = new HashMap<>();
    private final Set<ClientAccountId> changed = new HashSet<>();
    private final Counter replicaReads;
    private final Counter primaryReads;
    private final Timer reads;
    private final Timer writes;

    private static final class Use {
        long served;
        long servedWithinObjective;
        long refusedRate;
        long failed;
        long replicaReads;
        long reads;
    }

    /**
     * Creates counters at zero.
     *
     * @param registry where meters are registered
     */
    public UsageCounters(MeterRegistry registry) {
        this.registry = registry;
        this.replicaReads = registry.counter("chivevale.proxy.reads", "served", "replica");
        this.primaryReads = registry.counter("chivevale.proxy.reads", "served", "primary");
        this.reads = timer("read");
        this.writes = timer("write");
    }

    private Timer timer(String kind) {
        return Timer.builder("chivevale.proxy.requests")
                .tag("kind", kind)
                .publishPercentiles(0.5, 0.99)
                .register(registry);
    }

    /**
     * Counts one answer.
     *
     * @param account the client account with its objective
     * @param kind what the request was
     * @param answer what the caller was told
     * @param tookNanos how long it took
     */
    public void count(Account account, StatementKind kind, CallerAnswer answer, long tookNanos) {
        count(answer.code());
        Use use = uses.computeIfAbsent(account.id(), key -> new Use());
        changed.add(account.id());
        switch (answer.code()) {
            case OK, STATEMENT_FAILED -> {
                use.served++;
                if (tookNanos <= account.latencyObjectiveMillis() * NANOS_PER_MILLI) {
                    use.servedWithinObjective++;
                }
                (kind == StatementKind.READ ? reads : writes)
                        .record(tookNanos, TimeUnit.NANOSECONDS);
            }
            case RATE_EXCEEDED -> use.refusedRate++;
            default -> use.failed++;
        }
        if (answer.code() == ResultCode.OK && kind == StatementKind.READ) {
            countRead(use, answer.servedBy().equals(CallerAnswer.REPLICA));
        }
    }

    private void countRead(Use use, boolean replica) {
        use.reads++;
        if (replica) {
            use.replicaReads++;
            replicaReads.increment();
        } else {
            primaryReads.increment();
        }
    }

    /**
     * Counts an answer of which the client account is not known.
     *
     * @param code its code
     */
    public void count(ResultCode code) {
        byCode.computeIfAbsent(
                        code,
                        key ->
                                registry.counter(
                                        "chivevale.proxy.answers",
                                        "code",
                                        String.valueOf(key.number())))
                .increment();
    }

    @Override
    public void addTo(RenewRequest.Builder request) {
        for (ClientAccountId account : changed) {
            Use use = uses.get(account);
            request.addAccountUses(
                    AccountUse.newBuilder()
                            .setAccountId(account.value())
                            .setServed(use.served)
                            .setServedWithinObjective(use.servedWithinObjective)
                            .setRefusedRate(use.refusedRate)
                            .setFailed(use.failed)
                            .setReplicaReads(use.replicaReads)
                            .setReads(use.reads));
        }
        changed.clear();
    }
}
