package org.chivevale.control.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.chivevale.control.ControlSettings;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.settings.Settings;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateRequest;
import org.chivevale.wire.proto.WarmupGrant;
import org.chivevale.wire.proto.WarmupWant;
import org.junit.jupiter.api.Test;

/**
 * Follows the cold state of an endpoint from the log to proxies. Guards against a proxy that is not
 * told that an endpoint turned cold or warm, and against tokens that a leader must not grant.
 */
class ColdEndpointTest {
    private static final String GROUP = "orders.0";
    private static final long MILLI = 1_000_000;
    private static final long LEADER_SINCE = 5_000 * MILLI;
    private static final EndpointPut WARM =
            EndpointPut.newBuilder()
                    .setEndpointId("i-1")
                    .setGroupId(GROUP)
                    .setHost("127.0.0.1")
                    .setPort(5000)
                    .setIncarnation(7)
                    .build();
    private static final String SETTINGS =
            """
            id = "control-1"
            region = "north"
            data_center = "north-a"
            operator_api = false
            admin_listen = "127.0.0.1:0"
            wire_listen = "127.0.0.1:0"
            data_folder = "data"
            [warmup]
            %s
            """;

    private final Configuration configuration = new Configuration();
    private final Membership membership = new Membership(configuration, 1);

    private void apply(Change.Builder change) {
        configuration.apply(
                LogEntry.newBuilder()
                        .setVersion(configuration.version() + 1)
                        .addChanges(change)
                        .build());
    }

    private void putEndpoint(boolean cold) {
        apply(Change.newBuilder().setEndpointPut(WARM.toBuilder().setCold(cold)));
    }

    private void putDatabase(double ratePerSecond) {
        apply(
                Change.newBuilder()
                        .setDatabasePut(
                                DatabasePut.newBuilder()
                                        .setDatabase("orders")
                                        .setSlots(1)
                                        .setWarmupRatePerSecond(ratePerSecond)));
    }

    private boolean isToldAsCold() {
        return membership.endpointMessages().get(0).getCold();
    }

    @Test
    void proxiesAreToldWhenTheLogMarksAnEndpointAsColdAndWhenItIsWarmAgain() {
        putEndpoint(false);
        membership.announce(EndpointRegistry.toAnnouncement(WARM), 1);
        long before = membership.endpointsVersion();
        membership.updateCold(List.of());
        assertEquals(before, membership.endpointsVersion());
        putEndpoint(true);
        membership.updateCold(List.of());
        assertTrue(isToldAsCold());
        assertEquals(before + 1, membership.endpointsVersion());
        putEndpoint(false);
        membership.updateCold(List.of());
        assertFalse(isToldAsCold());
    }

    /** A new leader takes the endpoints from the log before any of them has announced itself. */
    @Test
    void aNewLeaderKnowsWhichEndpointsAreCold() {
        putEndpoint(true);
        for (EndpointPut put : configuration.endpoints()) {
            membership.announce(EndpointRegistry.toAnnouncement(put), 1);
        }
        assertTrue(isToldAsCold());
    }

    private static ControlSettings.Warmup read(String lines) {
        Settings in = Settings.parse("control.toml", SETTINGS.formatted(lines));
        ControlSettings settings = ControlSettings.read(in);
        in.check();
        return settings.warmup();
    }

    /** Older deployments render an empty table. */
    @Test
    void theBoundsOfAColdEndpointAreSettingsWithDefaults() {
        assertEquals(new ControlSettings.Warmup(1.5, 5), read(""));
        assertEquals(new ControlSettings.Warmup(2, 0.5), read("overshoot = 2\nslack = 0.5"));
    }

    private static WarmupGrant request(RateOwners rates, String endpoint, long nowNanos) {
        RateAnswer answer =
                rates.grantRates(
                        RateRequest.newBuilder()
                                .addWarmupWants(
                                        WarmupWant.newBuilder()
                                                .setGroupId(GROUP)
                                                .setEndpointId(endpoint)
                                                .setWanted(3))
                                .build(),
                        nowNanos);
        return answer.getWarmupGrants(0);
    }

    @Test
    void aNewLeaderGrantsNothingUntilEarlierGrantsHaveExpired() {
        putDatabase(10);
        putEndpoint(true);
        RateOwners rates = new RateOwners(configuration, 1, LEADER_SINCE, read(""));
        assertEquals(0, request(rates, "i-1", LEADER_SINCE + 300 * MILLI).getTokens());
        WarmupGrant grant = request(rates, "i-1", LEADER_SINCE + 500 * MILLI);
        assertEquals(1, grant.getTokens());
        assertEquals(300, grant.getValidMillis());
        assertEquals(0, request(rates, "i-9", LEADER_SINCE + 900 * MILLI).getTokens());
    }

    @Test
    void aColdEndpointOfADatabaseWithoutAWarmupRateGetsNoTokens() {
        putDatabase(0);
        putEndpoint(true);
        RateOwners rates = new RateOwners(configuration, 1, LEADER_SINCE, read(""));
        assertEquals(0, request(rates, "i-1", LEADER_SINCE + 60_000 * MILLI).getTokens());
    }
}
