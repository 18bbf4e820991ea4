package org.chivevale.control.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import org.chivevale.control.ControlSettings;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.rate.RateOwner;
import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateGrant;
import org.chivevale.wire.proto.RateRequest;
import org.chivevale.wire.proto.RateWant;
import org.chivevale.wire.proto.WarmupWant;

/**
 * The token buckets of the client accounts, which the leader owns and grants to proxies.
 *
 * <p>Used on the event loop.
 */
final class RateOwners {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Longer than proxies hold tokens ahead of demand, so that they seldom expire in use. */
    private static final long GRANT_MILLIS = 3_000;

    private static final long UNKNOWN_ACCOUNT_RETRY_MILLIS = 500;
    private static final long EXPIRY_MARGIN_MILLIS = 100;

    private final Configuration configuration;
    private final Map<ClientAccountId, AccountBucket> owners = new HashMap<>();
    private final long firstGrantId;
    private final long emptySinceNanos;
    private final WarmupOwners warmups;

    private static final class AccountBucket {
        final RateOwner owner;
        Account account;

        AccountBucket(RateOwner owner, Account account) {
            this.owner = owner;
            this.account = account;
        }
    }

    /**
     * Creates the buckets of a new leader.
     *
     * @param emptySinceNanos when the earlier leader had ended; how many tokens it granted is
     *     unknown, so each bucket is empty at that time
     * @param warmup by how much a second may exceed the rate of a cold endpoint
     */
    RateOwners(
            Configuration configuration,
            long firstGrantId,
            long emptySinceNanos,
            ControlSettings.Warmup warmup) {
        this.emptySinceNanos = emptySinceNanos;
        this.configuration = configuration;
        this.firstGrantId = firstGrantId;
        this.warmups = new WarmupOwners(configuration, warmup, emptySinceNanos);
    }

    RateAnswer grantRates(RateRequest request, long nowNanos) {
        RateAnswer.Builder answer = RateAnswer.newBuilder();
        String holder = request.getProxyId() + "/" + request.getIncarnation();
        for (RateWant want : request.getWantsList()) {
            answer.addGrants(grant(holder, want, nowNanos));
        }
        for (WarmupWant want : request.getWarmupWantsList()) {
            answer.addWarmupGrants(warmups.grant(want, nowNanos));
        }
        return answer.build();
    }

    private RateGrant grant(String holder, RateWant want, long nowNanos) {
        RateGrant.Builder grant = RateGrant.newBuilder().setAccountId(want.getAccountId());
        Account account = configuration.account(new ClientAccountId(want.getAccountId()));
        if (account == null) {
            owners.remove(new ClientAccountId(want.getAccountId()));
            return grant.setRetryAfterMillis(UNKNOWN_ACCOUNT_RETRY_MILLIS).build();
        }
        RateOwner owner = owner(account, nowNanos);
        for (int i = 0; i < want.getClosedGrantIdsCount(); i++) {
            owner.close(holder, want.getClosedGrantIds(i), want.getClosedUnused(i), nowNanos);
        }
        if (want.getWanted() == 0) {
            return grant.build();
        }
        int ahead = Math.min(want.getAhead(), want.getWanted());
        RateOwner.Granted granted =
                owner.grant(
                        holder,
                        want.getWanted() - ahead,
                        ahead,
                        GRANT_MILLIS * NANOS_PER_MILLI,
                        nowNanos);
        return grant.setGrantId(granted.id())
                .setTokens(granted.tokens())
                .setValidMillis(granted.validNanos() / NANOS_PER_MILLI)
                .setRetryAfterMillis(
                        (granted.retryAfterNanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
                .build();
    }

    private RateOwner owner(Account account, long nowNanos) {
        AccountBucket bucket = owners.get(account.id());
        if (bucket == null) {
            RateOwner owner =
                    new RateOwner(
                            account.ratePerSecond(),
                            account.burst(),
                            EXPIRY_MARGIN_MILLIS * NANOS_PER_MILLI,
                            firstGrantId,
                            emptySinceNanos);
            owners.put(account.id(), new AccountBucket(owner, account));
            return owner;
        }
        if (!bucket.account.equals(account)) {
            bucket.account = account;
            bucket.owner.updateRate(account.ratePerSecond(), account.burst(), nowNanos);
        }
        return bucket.owner;
    }
}
