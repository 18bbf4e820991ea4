package org.chivevale.control.internal.intent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RoutePut;
import org.junit.jupiter.api.Test;

/**
 * Plans regions of accounts and routes. Guards against a plan that leaves an account without any
 * region on a route to its own database, and against a change that drops what it does not name.
 */
class RegionPlanTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Configuration configuration = new Configuration();

    RegionPlanTest() {
        apply(
                Change.newBuilder()
                        .setDatabasePut(
                                DatabasePut.newBuilder()
                                        .setDatabase("orders")
                                        .setSlots(1)
                                        .setEndpointsPerGroup(3)
                                        .setConnectionLimit(34)
                                        .setPromotionAnswers(1)
                                        .setWarmupRatePerSecond(7.5))
                        .build());
        apply(
                Change.newBuilder()
                        .setRoutePut(
                                RoutePut.newBuilder()
                                        .setName("r-1")
                                        .setHost("one")
                                        .setPrefix("/")
                                        .setDatabase("orders")
                                        .setReadPolicy("BOUNDED")
                                        .setPriority(2)
                                        .setStatementTimeoutMillis(900)
                                        .setMaxStalenessMillis(1500)
                                        .addAllowedRegions("north"))
                        .build());
    }

    private void apply(Change change) {
        configuration.apply(
                LogEntry.newBuilder()
                        .setVersion(configuration.version() + 1)
                        .addChanges(change)
                        .build());
    }

    private void confirm(String intent) throws Exception {
        new IntentPlanner(configuration).plan(parse(intent)).changes().forEach(this::apply);
    }

    private static Intent parse(String intent) throws Exception {
        return new Intent(MAPPER.readTree(intent.replace('\'', '"')));
    }

    private void assertInvalid(String intent) throws Exception {
        Intent parsed = parse(intent);
        ChivevaleException rejection =
                assertThrows(
                        ChivevaleException.class,
                        () -> new IntentPlanner(configuration).plan(parsed));
        assertEquals(ResultCode.INTENT_INVALID, rejection.code());
    }

    private static String create(String databases, String regions) {
        return "{'kind':'account-create','account':'hotel','rate_per_second':5,'burst':5,"
                + "'databases':["
                + databases
                + "],'allowed_regions':"
                + regions
                + "}";
    }

    @Test
    void anAccountWithoutACommonRegionWithARouteToItsDatabaseIsInvalid() throws Exception {
        assertInvalid(create("'orders'", "['south']"));
        confirm(create("'orders'", "['south','north']"));
        assertInvalid("{'kind':'account-change','account':'hotel','allowed_regions':['south']}");
        assertInvalid("{'kind':'route-regions','route':'r-1','allowed_regions':['west']}");
    }

    @Test
    void anAccountThatIsNotLimitedToNamedDatabasesMayNameAnyRegion() throws Exception {
        confirm(create("", "['south']"));
        confirm("{'kind':'route-regions','route':'r-1','allowed_regions':['west']}");
        assertEquals(List.of("west"), configuration.route("r-1").allowedRegions().toList());
    }

    @Test
    void aListThatIsNotOfNonEmptyTextsIsInvalid() throws Exception {
        assertInvalid(create("'orders'", "'north'"));
        assertInvalid(create("'orders'", "['']"));
        assertInvalid(create("'orders'", "[1]"));
        assertInvalid(create("'orders'", "null"));
        assertInvalid("{'kind':'route-regions','route':'r-1'}");
        assertInvalid("{'kind':'route-regions','route':'r-9','allowed_regions':[]}");
    }

    @Test
    void aChangeKeepsTheRegionsItDoesNotNameAndAnEmptyListClearsThem() throws Exception {
        confirm(create("'orders'", "['north']"));
        confirm("{'kind':'account-change','account':'hotel','burst':9}");
        ClientAccountId hotel = new ClientAccountId("hotel");
        assertEquals(List.of("north"), configuration.account(hotel).allowedRegions().toList());
        confirm("{'kind':'account-change','account':'hotel','allowed_regions':[]}");
        assertFalse(configuration.account(hotel).allowedRegions().isRestricted());
        int priority = configuration.route("r-1").priority();
        confirm("{'kind':'route-regions','route':'r-1','allowed_regions':[]}");
        assertFalse(configuration.route("r-1").allowedRegions().isRestricted());
        assertEquals(priority, configuration.route("r-1").priority());
        assertEquals("one", configuration.route("r-1").host());
    }

    /** Guards against a change of one setting of a database that resets its other ones. */
    @Test
    void aChangeOfADatabaseKeepsItsLimitsAndWarmupRate() throws Exception {
        confirm("{'kind':'database-change','database':'orders','acknowledge':'quorum'}");
        assertEquals(34, configuration.database("orders").connectionLimit());
        assertEquals(1, configuration.database("orders").promotionAnswers());
        assertEquals(7.5, configuration.database("orders").warmupRatePerSecond());
        confirm("{'kind':'database-change','database':'orders','warmup_per_second':0}");
        assertEquals(0, configuration.database("orders").warmupRatePerSecond());
    }
}
