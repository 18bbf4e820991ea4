package org.chivevale.core.config;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.wire.proto.AccountPut;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.ConfigurationSnapshot;
import org.chivevale.wire.proto.DatabaseCredentialPut;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.DesiredStored;
import org.chivevale.wire.proto.EvacuationPut;
import org.chivevale.wire.proto.GroupState;
import org.chivevale.wire.proto.KeyPut;
import org.chivevale.wire.proto.OpenRoutePut;
import org.chivevale.wire.proto.OperatorPut;
import org.chivevale.wire.proto.RoutePut;
import org.chivevale.wire.proto.SessionLimitsPut;
import org.chivevale.wire.proto.SessionSecretPut;

/**
 * Builds a snapshot of a configuration: the changes that rebuild it.
 *
 * <p>Invariant: restoring the result gives an equal configuration. Not thread safe.
 */
final class ConfigurationWriter {
    private final Configuration source;
    private final boolean forProxy;
    private final ConfigurationSnapshot.Builder out = ConfigurationSnapshot.newBuilder();

    ConfigurationWriter(Configuration source, boolean forProxy) {
        this.source = source;
        this.forProxy = forProxy;
    }

    ConfigurationSnapshot buildSnapshot() {
        out.setVersion(source.version());
        out.addChanges(
                Change.newBuilder()
                        .setSessionSecretPut(
                                SessionSecretPut.newBuilder()
                                        .setSecret(ByteString.copyFrom(source.sessionSecret()))));
        source.databases().forEach(this::write);
        source.accounts().forEach(this::write);
        source.keys().forEach(this::write);
        source.groups().forEach(this::write);
        source.openRoutes().forEach(this::write);
        source.routes().forEach(route -> out.addChanges(change(route)));
        out.addChanges(change(source.sessionLimits()));
        source.evacuations().forEach(evacuation -> out.addChanges(change(evacuation)));
        out.addChanges(desired());
        if (!forProxy) {
            writeControlOnly();
        }
        return out.build();
    }

    /** Omits the operator's source for proxies: they need the version only. */
    private Change desired() {
        DesiredStored stored = source.desired();
        if (forProxy) {
            stored = stored.toBuilder().clearSource().build();
        }
        return Change.newBuilder().setDesiredStored(stored).build();
    }

    private void writeControlOnly() {
        for (Map.Entry<String, byte[]> entry : source.credentialHashes().entrySet()) {
            out.addChanges(
                    Change.newBuilder()
                            .setDatabaseCredentialPut(
                                    DatabaseCredentialPut.newBuilder()
                                            .setDatabase(entry.getKey())
                                            .setHash(ByteString.copyFrom(entry.getValue()))));
        }
        for (Operator operator : source.operators()) {
            out.addChanges(
                    Change.newBuilder()
                            .setOperatorPut(
                                    OperatorPut.newBuilder()
                                            .setOperatorId(operator.id())
                                            .setKeyId(operator.keyId())
                                            .setHash(ByteString.copyFrom(operator.hash()))
                                            .setRole(operator.role().name())));
        }
        source.failovers()
                .values()
                .forEach(step -> out.addChanges(Change.newBuilder().setFailoverStep(step)));
        source.endpoints().forEach(put -> out.addChanges(Change.newBuilder().setEndpointPut(put)));
        source.endpointTable()
                .removed()
                .forEach(left -> out.addChanges(Change.newBuilder().setEndpointRemoved(left)));
        source.plans().forEach(plan -> out.addChanges(Change.newBuilder().setPlanStored(plan)));
    }

    private void write(Database database) {
        out.addChanges(change(database));
    }

    static Change change(Database database) {
        return Change.newBuilder()
                .setDatabasePut(
                        DatabasePut.newBuilder()
                                .setDatabase(database.name())
                                .setSlots(database.slots())
                                .setAcknowledgeByQuorum(database.acknowledgeByQuorum())
                                .setEndpointsPerGroup(database.endpointsPerGroup())
                                .setConnectionLimit(database.connectionLimit())
                                .setPromotionAnswers(database.promotionAnswers())
                                .setWarmupRatePerSecond(database.warmupRatePerSecond()))
                .build();
    }

    private void write(Account account) {
        out.addChanges(change(account));
    }

    static Change change(Account account) {
        return Change.newBuilder()
                .setAccountPut(
                        AccountPut.newBuilder()
                                .setAccountId(account.id().value())
                                .setRatePerSecond(account.ratePerSecond())
                                .setBurst(account.burst())
                                .addAllDatabases(account.databases())
                                .setLatencyObjectiveMillis(account.latencyObjectiveMillis())
                                .addAllAllowedRegions(account.allowedRegions().toList()))
                .build();
    }

    private void write(StoredKey key) {
        out.addChanges(change(key));
    }

    static Change change(StoredKey key) {
        return Change.newBuilder()
                .setKeyPut(
                        KeyPut.newBuilder()
                                .setKeyId(key.id())
                                .setAccountId(key.account().value())
                                .setHash(ByteString.copyFrom(key.hash())))
                .build();
    }

    private void write(Group group) {
        for (Map.Entry<Long, Long> start : new TreeMap<>(group.startPositions()).entrySet()) {
            out.addChanges(groupState(group, start.getKey(), start.getValue()));
        }
        out.addChanges(groupState(group, group.term(), 0));
    }

    private static Change.Builder groupState(Group group, long term, long startPosition) {
        GroupState.Builder state =
                GroupState.newBuilder()
                        .setGroupId(group.id().toString())
                        .setTerm(term)
                        .setStartPosition(startPosition);
        if (group.primary() != null) {
            state.setPrimaryEndpointId(group.primary().value())
                    .setPrimaryHost(group.address().host())
                    .setPrimaryPort(group.address().port());
        }
        return Change.newBuilder().setGroupState(state);
    }

    private void write(OpenRoute route) {
        out.addChanges(
                Change.newBuilder()
                        .setOpenRoutePut(
                                OpenRoutePut.newBuilder()
                                        .setName(route.name())
                                        .setDatabase(route.database())
                                        .setAccountId(route.account().value())
                                        .setSql(route.sql())
                                        .setAcceptedAgeMillis(route.acceptedAgeMillis())));
    }

    static Change change(Route route) {
        return Change.newBuilder()
                .setRoutePut(
                        RoutePut.newBuilder()
                                .setName(route.name())
                                .setHost(route.host())
                                .setPrefix(route.prefix())
                                .setDatabase(route.database())
                                .setReadPolicy(route.readPolicy().name())
                                .setStatementTimeoutMillis(route.statementTimeoutMillis())
                                .setLatencyObjectiveMillis(route.latencyObjectiveMillis())
                                .setPriority(route.priority())
                                .setMaxStalenessMillis(route.maxStalenessMillis())
                                .setAnonymous(route.anonymous())
                                .addAllAllowedRegions(route.allowedRegions().toList()))
                .build();
    }

    static Change change(Evacuation evacuation) {
        return Change.newBuilder()
                .setEvacuationPut(
                        EvacuationPut.newBuilder()
                                .setDataCenter(evacuation.dataCenter())
                                .setOperatorId(evacuation.operatorId())
                                .setRequestedUnixMillis(evacuation.requestedUnixMillis()))
                .build();
    }

    static Change change(SessionLimits limits) {
        return Change.newBuilder()
                .setSessionLimitsPut(
                        SessionLimitsPut.newBuilder()
                                .setTransactionIdleMillis(limits.transactionIdleMillis())
                                .setSessionIdleMillis(limits.sessionIdleMillis()))
                .build();
    }
}
