package org.chivevale.control.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import org.chivevale.control.ControlSettings;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.rate.WarmupLimit;
import org.chivevale.core.rate.WarmupOwner;
import org.chivevale.core.rate.WarmupTarget;
import org.chivevale.wire.proto.WarmupGrant;
import org.chivevale.wire.proto.WarmupWant;

/**
 * The owners of the warm-up tokens of all endpoints, which the leader holds in memory.
 *
 * <p>An endpoint has an owner only while some of its grants count. Used on the event loop.
 */
final class WarmupOwners {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long GRANT_MILLIS = 300;

    /** Covers a clock drift of 3 % over the validity and the time from the check to the send. */
    private static final long MARGIN_MILLIS = 10;

    private final Configuration configuration;
    private final ControlSettings.Warmup settings;
    private final long quietUntilNanos;
    private final Map<WarmupTarget, WarmupOwner> owners = new HashMap<>();

    WarmupOwners(
            Configuration configuration, ControlSettings.Warmup settings, long leaderSinceNanos) {
        this.configuration = configuration;
        this.settings = settings;
        this.quietUntilNanos = leaderSinceNanos + (GRANT_MILLIS + MARGIN_MILLIS) * NANOS_PER_MILLI;
    }

    WarmupGrant grant(WarmupWant want, long nowNanos) {
        owners.values().removeIf(owner -> owner.isIdle(nowNanos));
        return WarmupGrant.newBuilder()
                .setGroupId(want.getGroupId())
                .setEndpointId(want.getEndpointId())
                .setTokens(countTokens(want, nowNanos))
                .setValidMillis(GRANT_MILLIS)
                .build();
    }

    private int countTokens(WarmupWant want, long nowNanos) {
        WarmupTarget target =
                new WarmupTarget(
                        GroupId.parse(want.getGroupId()), new EndpointId(want.getEndpointId()));
        Database database = configuration.database(target.group().database());
        boolean known =
                database != null
                        && database.warmupRatePerSecond() > 0
                        && configuration.endpoint(target.group(), target.endpoint()) != null;
        if (!known) {
            return 0;
        }
        WarmupLimit limit =
                new WarmupLimit(
                        database.warmupRatePerSecond(), settings.overshoot(), settings.slack());
        WarmupOwner owner =
                owners.computeIfAbsent(
                        target,
                        key ->
                                new WarmupOwner(
                                        limit,
                                        GRANT_MILLIS * NANOS_PER_MILLI,
                                        MARGIN_MILLIS * NANOS_PER_MILLI,
                                        quietUntilNanos));
        owner.updateLimit(limit, nowNanos);
        return owner.grant(want.getWanted(), nowNanos);
    }
}
