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
 * Counts the results of requests, in total and by client account.
 *
 * <p>Used on the event loop.
 */
public final class UsageCounters implements RenewalParticipant {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MeterRegistry registry;
    private final Map<ResultCode, Counter> responsesByCode = new EnumMap<>(ResultCode.class);
    private final Map<ClientAccountId, AccountUsage> usageByAccount = new HashMap<>();
    private final Set<ClientAccountId> changedAccounts = new HashSet<>();
    private final Counter replicaReads;
    private final Counter primaryReads;
    private final Timer readTimer;
    private final Timer writeTimer;

    private static final class AccountUsage {
        long served;
        long servedWithinObjective;
        long rejectedByRate;
        long failed;
        long replicaReads;
        long reads;
    }

    /**
     * Creates counters at zero and registers their meters.
     *
     * @param registry the registry of the process's metrics
     */
    public UsageCounters(MeterRegistry registry) {
        this.registry = registry;
        this.replicaReads = registry.counter("chivevale.proxy.reads", "served", "replica");
        this.primaryReads = registry.counter("chivevale.proxy.reads", "served", "primary");
        this.readTimer = registerTimer("read");
        this.writeTimer = registerTimer("write");
    }

    private Timer registerTimer(String kind) {
        return Timer.builder("chivevale.proxy.requests")
                .tag("kind", kind)
                .publishPercentiles(0.5, 0.99)
                .register(registry);
    }

    /**
     * Counts the response to a request of a known client account.
     *
     * @param account the client account, with its latency objective
     * @param kind the strongest effect that the request's statements may have
     * @param response the response that the caller gets
     * @param durationNanos the time from the request to its response
     */
    public void recordResponse(
            Account account, StatementKind kind, CallerResponse response, long durationNanos) {
        recordResponse(response.code());
        AccountUsage usage =
                usageByAccount.computeIfAbsent(account.id(), key -> new AccountUsage());
        changedAccounts.add(account.id());
        switch (response.code()) {
            case OK, STATEMENT_FAILED -> {
                usage.served++;
                if (durationNanos <= account.latencyObjectiveMillis() * NANOS_PER_MILLI) {
                    usage.servedWithinObjective++;
                }
                (kind == StatementKind.READ ? readTimer : writeTimer)
                        .record(durationNanos, TimeUnit.NANOSECONDS);
            }
            case RATE_EXCEEDED -> usage.rejectedByRate++;
            default -> usage.failed++;
        }
        if (response.code() == ResultCode.OK && kind == StatementKind.READ) {
            recordRead(usage, response.servedBy().equals(CallerResponse.REPLICA));
        }
    }

    private void recordRead(AccountUsage usage, boolean servedByReplica) {
        usage.reads++;
        if (servedByReplica) {
            usage.replicaReads++;
            replicaReads.increment();
        } else {
            primaryReads.increment();
        }
    }

    /**
     * Counts a response without attributing it to a client account.
     *
     * @param code the response's result code
     */
    public void recordResponse(ResultCode code) {
        responsesByCode
                .computeIfAbsent(
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
        for (ClientAccountId account : changedAccounts) {
            AccountUsage usage = usageByAccount.get(account);
            request.addAccountUses(
                    AccountUse.newBuilder()
                            .setAccountId(account.value())
                            .setServed(usage.served)
                            .setServedWithinObjective(usage.servedWithinObjective)
                            .setRefusedRate(usage.rejectedByRate)
                            .setFailed(usage.failed)
                            .setReplicaReads(usage.replicaReads)
                            .setReads(usage.reads));
        }
        changedAccounts.clear();
    }
}
