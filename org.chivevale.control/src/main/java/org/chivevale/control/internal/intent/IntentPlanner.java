package org.chivevale.control.internal.intent;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.chivevale.control.internal.failover.FailoverChanges;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.config.Operator;
import org.chivevale.core.config.StoredKey;
import org.chivevale.core.failover.FailoverPhase;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.core.statement.StatementPolicy;
import org.chivevale.core.util.Checks;
import org.chivevale.wire.proto.AccountRemoved;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabaseCredentialPut;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.KeyPut;
import org.chivevale.wire.proto.KeyWithdrawn;
import org.chivevale.wire.proto.OpenRoutePut;
import org.chivevale.wire.proto.OpenRouteRemoved;
import org.chivevale.wire.proto.OperatorPut;

/**
 * Computes the changes of an intent.
 *
 * <p>Deterministic: the same intent on the same configuration gives the same changes, so whichever
 * process is the leader at the confirmation can compute the plan again. Not thread safe.
 */
final class IntentPlanner {
    private static final double MAX_WARMUP_RATE = 1e6;
    private static final int MAX_ENDPOINTS = 9;
    private static final int MAX_AGE_MILLIS = 86_400_000;

    private final Configuration configuration;

    IntentPlanner(Configuration configuration) {
        this.configuration = configuration;
    }

    PlannedChanges plan(Intent intent) {
        return switch (intent.kind()) {
            case "account-create" -> new AccountPlanner(configuration).create(intent);
            case "account-change" -> new AccountPlanner(configuration).change(intent);
            case "account-remove" -> removeAccount(intent);
            case "key-create" -> createKey(intent);
            case "key-withdraw" -> withdrawKey(intent);
            case "database-create" -> createDatabase(intent);
            case "database-change" -> changeDatabase(intent);
            case "credential-replace" -> replaceCredential(intent);
            case "route-open" -> openRoute(intent);
            case "route-close" -> closeRoute(intent);
            case "route-regions" -> new RouteRegionsPlanner(configuration).plan(intent);
            case "operator-create" -> createOperator(intent);
            case "hand-over" -> switchOver(intent);
            case "promote-with-loss" -> promoteWithLoss(intent);
            default -> throw Intent.invalid("unknown intent kind '" + intent.kind() + "'");
        };
    }

    /** Names the object that an intent changes, as {@code kind:name}. */
    static String touchedObject(Intent intent) {
        return switch (intent.kind()) {
            case "account-create", "account-change", "account-remove" ->
                    "account:" + intent.text("account");
            case "key-create", "key-withdraw" -> "key:" + intent.text("key_id");
            case "database-create", "database-change", "credential-replace" ->
                    "database:" + intent.text("database");
            case "route-open", "route-close" -> "route:" + intent.text("name");
            case "route-regions" -> "caller-route:" + intent.text("route");
            case "operator-create" -> "operator:" + intent.text("operator");
            case EvacuationIntents.EVACUATE, EvacuationIntents.RESTORE ->
                    "datacenter:" + intent.text("data_center");
            default -> "group:" + intent.text("group");
        };
    }

    private PlannedChanges removeAccount(Intent intent) {
        intent.rejectUnknownFields(Set.of("account"));
        Account account = requireAccount(intent.text("account"));
        long keys =
                configuration.keys().stream()
                        .filter(key -> key.account().equals(account.id()))
                        .count();
        AccountRemoved removed =
                AccountRemoved.newBuilder().setAccountId(account.id().value()).build();
        return PlannedChanges.of(
                Change.newBuilder().setAccountRemoved(removed),
                "remove client account " + account.id() + " with its " + keys + " keys",
                touchedObject(intent));
    }

    private Account requireAccount(String name) {
        Account account = configuration.account(new ClientAccountId(name));
        if (account == null) {
            throw Intent.invalid("client account '" + name + "' does not exist");
        }
        return account;
    }

    private PlannedChanges createKey(Intent intent) {
        intent.rejectUnknownFields(Set.of("account", "key_id", "key_hash"));
        Account account = requireAccount(intent.text("account"));
        String keyId = intent.text("key_id");
        if (configuration.key(keyId) != null) {
            throw Intent.invalid("key " + keyId + " already exists");
        }
        KeyPut put =
                KeyPut.newBuilder()
                        .setKeyId(keyId)
                        .setAccountId(account.id().value())
                        .setHash(parseKeyHash(intent))
                        .build();
        return PlannedChanges.of(
                Change.newBuilder().setKeyPut(put),
                "create key " + keyId + " of client account " + account.id(),
                touchedObject(intent));
    }

    private static ByteString parseKeyHash(Intent intent) {
        try {
            return ByteString.copyFrom(HexFormat.of().parseHex(intent.text("key_hash")));
        } catch (IllegalArgumentException e) {
            throw Intent.invalid("field 'key_hash' is not hexadecimal");
        }
    }

    private PlannedChanges withdrawKey(Intent intent) {
        intent.rejectUnknownFields(Set.of("key_id"));
        String keyId = intent.text("key_id");
        StoredKey key = configuration.key(keyId);
        if (key == null) {
            throw Intent.invalid("key " + keyId + " does not exist");
        }
        return PlannedChanges.of(
                Change.newBuilder().setKeyWithdrawn(KeyWithdrawn.newBuilder().setKeyId(keyId)),
                "withdraw key " + keyId + " of client account " + key.account(),
                touchedObject(intent));
    }

    private PlannedChanges createDatabase(Intent intent) {
        intent.rejectUnknownFields(
                Set.of(
                        "database",
                        "slots",
                        "endpoints_per_group",
                        "acknowledge",
                        "warmup_per_second",
                        "key_id",
                        "key_hash"));
        String name = Checks.name("database", intent.text("database"));
        if (configuration.database(name) != null) {
            throw Intent.invalid("database '" + name + "' already exists");
        }
        int slots = intent.number("slots", 1, GroupId.MAX_SLOTS);
        int endpoints = intent.number("endpoints_per_group", 1, MAX_ENDPOINTS);
        boolean quorum = parseQuorum(intent.text("acknowledge", "quorum"));
        double warmup = intent.decimal("warmup_per_second", 0, 0, MAX_WARMUP_RATE);
        DatabaseCredentialPut credential = putCredential(name, intent);
        return new PlannedChanges(
                List.of(
                        putDatabase(new Database(name, slots, quorum, endpoints, 0, 0, warmup)),
                        Change.newBuilder().setDatabaseCredentialPut(credential).build()),
                List.of(
                        "create database "
                                + name
                                + ": "
                                + slots
                                + " slots, "
                                + endpoints
                                + " endpoints a group, acknowledged by "
                                + (quorum ? "quorum" : "primary")
                                + describeWarmup(warmup),
                        "create the announcement credential of database " + name),
                List.of(touchedObject(intent)));
    }

    private static DatabaseCredentialPut putCredential(String database, Intent intent) {
        return DatabaseCredentialPut.newBuilder()
                .setDatabase(database)
                .setHash(parseKeyHash(intent))
                .build();
    }

    private static boolean parseQuorum(String text) {
        return switch (text) {
            case "quorum" -> true;
            case "primary" -> false;
            default -> throw Intent.invalid("field 'acknowledge' must be quorum or primary");
        };
    }

    private static String describeWarmup(double ratePerSecond) {
        return ratePerSecond == 0
                ? ""
                : ", cold endpoints at most " + ratePerSecond + " requests/s";
    }

    private static Change putDatabase(Database database) {
        return Change.newBuilder()
                .setDatabasePut(
                        DatabasePut.newBuilder()
                                .setDatabase(database.name())
                                .setSlots(database.slots())
                                .setEndpointsPerGroup(database.endpointsPerGroup())
                                .setAcknowledgeByQuorum(database.acknowledgeByQuorum())
                                .setConnectionLimit(database.connectionLimit())
                                .setPromotionAnswers(database.promotionAnswers())
                                .setWarmupRatePerSecond(database.warmupRatePerSecond()))
                .build();
    }

    private PlannedChanges changeDatabase(Intent intent) {
        intent.rejectUnknownFields(
                Set.of("database", "endpoints_per_group", "acknowledge", "warmup_per_second"));
        Database before = requireDatabase(intent.text("database"));
        int endpoints =
                intent.number("endpoints_per_group", before.endpointsPerGroup(), 1, MAX_ENDPOINTS);
        boolean quorum =
                parseQuorum(
                        intent.text(
                                "acknowledge",
                                before.acknowledgeByQuorum() ? "quorum" : "primary"));
        double warmup =
                intent.decimal(
                        "warmup_per_second", before.warmupRatePerSecond(), 0, MAX_WARMUP_RATE);
        Database changed =
                new Database(
                        before.name(),
                        before.slots(),
                        quorum,
                        endpoints,
                        before.connectionLimit(),
                        before.promotionAnswers(),
                        warmup);
        return PlannedChanges.of(
                putDatabase(changed).toBuilder(),
                "change database "
                        + before.name()
                        + ": "
                        + endpoints
                        + " endpoints a group, acknowledged by "
                        + (quorum ? "quorum" : "primary")
                        + describeWarmup(warmup),
                touchedObject(intent));
    }

    private PlannedChanges replaceCredential(Intent intent) {
        intent.rejectUnknownFields(Set.of("database", "key_id", "key_hash"));
        Database database = requireDatabase(intent.text("database"));
        return PlannedChanges.of(
                Change.newBuilder()
                        .setDatabaseCredentialPut(putCredential(database.name(), intent)),
                "replace the announcement credential of database " + database.name(),
                touchedObject(intent));
    }

    private Database requireDatabase(String name) {
        Database database = configuration.database(name);
        if (database == null) {
            throw Intent.invalid("database '" + name + "' does not exist");
        }
        return database;
    }

    private PlannedChanges openRoute(Intent intent) {
        intent.rejectUnknownFields(Set.of("name", "database", "account", "sql", "accepted_age_ms"));
        String name = Checks.name("route", intent.text("name"));
        Database database = requireDatabase(intent.text("database"));
        Account account = requireAccount(intent.text("account"));
        String sql = intent.text("sql");
        if (StatementPolicy.classify(sql) != StatementKind.READ) {
            throw Intent.invalid("the statement of an open route must be a read");
        }
        if (!account.databases().contains(database.name())) {
            throw Intent.invalid(account.id() + " has no access to database " + database.name());
        }
        OpenRoutePut put =
                OpenRoutePut.newBuilder()
                        .setName(name)
                        .setDatabase(database.name())
                        .setAccountId(account.id().value())
                        .setSql(sql)
                        .setAcceptedAgeMillis(intent.number("accepted_age_ms", 0, MAX_AGE_MILLIS))
                        .build();
        return PlannedChanges.of(
                Change.newBuilder().setOpenRoutePut(put),
                "open route " + name + " to everybody, with the rights of " + account.id(),
                touchedObject(intent));
    }

    private PlannedChanges closeRoute(Intent intent) {
        intent.rejectUnknownFields(Set.of("name"));
        String name = intent.text("name");
        if (configuration.openRoute(name) == null) {
            throw Intent.invalid("open route '" + name + "' does not exist");
        }
        return PlannedChanges.of(
                Change.newBuilder()
                        .setOpenRouteRemoved(OpenRouteRemoved.newBuilder().setName(name)),
                "close route " + name,
                touchedObject(intent));
    }

    private PlannedChanges createOperator(Intent intent) {
        intent.rejectUnknownFields(Set.of("operator", "role", "key_id", "key_hash"));
        String name = Checks.name("operator", intent.text("operator"));
        Operator.Role role = parseRole(intent.text("role"));
        OperatorPut put =
                OperatorPut.newBuilder()
                        .setOperatorId(name)
                        .setKeyId(intent.text("key_id"))
                        .setHash(parseKeyHash(intent))
                        .setRole(role.name())
                        .build();
        return PlannedChanges.of(
                Change.newBuilder().setOperatorPut(put),
                "set operator " + name + " with role " + role,
                touchedObject(intent));
    }

    private static Operator.Role parseRole(String text) {
        try {
            return Operator.Role.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw Intent.invalid("field 'role' must be read, change or all");
        }
    }

    private PlannedChanges switchOver(Intent intent) {
        intent.rejectUnknownFields(Set.of("group", "to"));
        Group group = requireGroup(intent);
        if (group.primary() == null) {
            throw Intent.invalid("group " + group.id() + " has no primary to switch over from");
        }
        String to = intent.text("to", "");
        if (!to.isEmpty() && new EndpointId(to).equals(group.primary())) {
            throw Intent.invalid(to + " is already the primary of group " + group.id());
        }
        return new PlannedChanges(
                FailoverChanges.fence(
                        group, "an operator's hand-over", true, to, FailoverPhase.FENCING),
                List.of(
                        "hand group "
                                + group.id()
                                + " over from "
                                + group.primary()
                                + (to.isEmpty() ? " to a replica" : " to " + to)),
                List.of(touchedObject(intent)));
    }

    private PlannedChanges promoteWithLoss(Intent intent) {
        intent.rejectUnknownFields(Set.of("group"));
        Group group = requireGroup(intent);
        if (group.primary() != null) {
            throw Intent.invalid("group " + group.id() + " has a primary");
        }
        return new PlannedChanges(
                FailoverChanges.fence(
                        group,
                        "an operator accepts a loss",
                        false,
                        "",
                        FailoverPhase.FENCING_WITH_LOSS),
                List.of(
                        "promote whichever member of group "
                                + group.id()
                                + " answers; ACKNOWLEDGED WRITES MAY BE LOST"),
                List.of(touchedObject(intent)));
    }

    private Group requireGroup(Intent intent) {
        GroupId id = GroupId.parse(intent.text("group"));
        Database database = requireDatabase(id.database());
        if (id.slot() >= database.slots()) {
            throw Intent.invalid("database " + database.name() + " has no slot " + id.slot());
        }
        return configuration.group(id);
    }
}
