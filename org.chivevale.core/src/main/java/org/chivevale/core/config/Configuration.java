package org.chivevale.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.session.SessionTokenCodec;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.AccountPut;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.ConfigurationSnapshot;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.DesiredStored;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.EvacuationPut;
import org.chivevale.wire.proto.FailoverStep;
import org.chivevale.wire.proto.GroupState;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.OpenRoutePut;
import org.chivevale.wire.proto.PlanStored;

/**
 * The configuration that results from applying the committed log entries in order.
 *
 * <p>Invariants: the version never decreases; the same entries give the same configuration in every
 * process; removing a client account removes its keys. Not thread safe.
 */
public final class Configuration {
    private static final int MAX_PLANS = 1000;

    private long version;
    private final Map<String, Account> accounts = new TreeMap<>();
    private final KeyTable keys = new KeyTable();
    private final Map<String, Database> databases = new TreeMap<>();
    private final Map<String, byte[]> credentials = new TreeMap<>();
    private final Map<String, Group> groups = new TreeMap<>();
    private final Map<String, OpenRoute> openRoutes = new TreeMap<>();
    private final OperatorTable operators = new OperatorTable();
    private final Map<String, FailoverStep> failovers = new TreeMap<>();
    private final Map<String, PlanStored> plans = new LinkedHashMap<>();
    private final RouteTable routes = new RouteTable();
    private final EndpointTable endpoints = new EndpointTable();
    private final Map<String, Evacuation> evacuations = new TreeMap<>();
    private SessionLimits sessionLimits = SessionLimits.DEFAULT;
    private DesiredStored desired = DesiredStored.getDefaultInstance();
    private byte[] sessionSecret = new byte[0];
    private SessionTokenCodec sessionTokens;

    /**
     * Applies the next entry; ignores one that was applied before. On failure a part of its changes
     * may be left, with the version before, and must not be used.
     *
     * @param entry the entry with the version after the current one
     * @throws IllegalStateException when entries in between are missing
     */
    public void apply(LogEntry entry) {
        if (entry.getVersion() <= version) {
            return;
        }
        if (entry.getVersion() != version + 1) {
            throw new IllegalStateException(
                    "cannot apply entry " + entry.getVersion() + " to version " + version);
        }
        entry.getChangesList().forEach(this::apply);
        version = entry.getVersion();
    }

    /**
     * Replaces the configuration with a snapshot; ignores an older one. On failure a part of it may
     * be left, with version 0, and must not be used.
     *
     * @param snapshot a result of {@link #snapshot}
     */
    public void restore(ConfigurationSnapshot snapshot) {
        if (snapshot.getVersion() < version) {
            return;
        }
        clear();
        snapshot.getChangesList().forEach(this::apply);
        version = snapshot.getVersion();
    }

    /** Returns to version 0; keeps the session secret, which responses in progress need. */
    public void clear() {
        version = 0;
        accounts.clear();
        keys.clear();
        databases.clear();
        credentials.clear();
        groups.clear();
        openRoutes.clear();
        operators.clear();
        failovers.clear();
        plans.clear();
        routes.clear();
        endpoints.clear();
        evacuations.clear();
        desired = DesiredStored.getDefaultInstance();
        sessionLimits = SessionLimits.DEFAULT;
    }

    private void apply(Change change) {
        switch (change.getKindCase()) {
            case ACCOUNT_PUT -> putAccount(change.getAccountPut());
            case ACCOUNT_REMOVED -> removeAccount(change.getAccountRemoved().getAccountId());
            case KEY_PUT -> keys.put(change.getKeyPut());
            case KEY_WITHDRAWN -> keys.withdraw(change.getKeyWithdrawn().getKeyId());
            case DATABASE_PUT -> putDatabase(change.getDatabasePut());
            case DATABASE_CREDENTIAL_PUT ->
                    credentials.put(
                            change.getDatabaseCredentialPut().getDatabase(),
                            change.getDatabaseCredentialPut().getHash().toByteArray());
            case GROUP_STATE -> putGroup(change.getGroupState());
            case SESSION_SECRET_PUT ->
                    putSessionSecret(change.getSessionSecretPut().getSecret().toByteArray());
            case OPEN_ROUTE_PUT -> putOpenRoute(change.getOpenRoutePut());
            case OPEN_ROUTE_REMOVED -> openRoutes.remove(change.getOpenRouteRemoved().getName());
            case FAILOVER_STEP -> putFailover(change.getFailoverStep());
            case OPERATOR_PUT -> operators.put(change.getOperatorPut());
            case PLAN_STORED -> putPlan(change.getPlanStored());
            case ROUTE_PUT -> routes.put(change.getRoutePut());
            case ROUTE_REMOVED -> routes.remove(change.getRouteRemoved().getName());
            case SESSION_LIMITS_PUT ->
                    sessionLimits = SessionLimits.of(change.getSessionLimitsPut());
            case DATABASE_REMOVED -> removeDatabase(change.getDatabaseRemoved().getDatabase());
            case DESIRED_STORED -> desired = change.getDesiredStored();
            case ENDPOINT_PUT -> endpoints.put(change.getEndpointPut());
            case ENDPOINT_REMOVED -> endpoints.remove(change.getEndpointRemoved());
            case EVACUATION_PUT -> putEvacuation(change.getEvacuationPut());
            case EVACUATION_REMOVED ->
                    evacuations.remove(change.getEvacuationRemoved().getDataCenter());
            default -> throw new IllegalStateException("unknown change " + change.getKindCase());
        }
    }

    private void putSessionSecret(byte[] secret) {
        sessionSecret = secret;
        sessionTokens = secret.length == 0 ? null : new SessionTokenCodec(secret);
    }

    private void putAccount(AccountPut put) {
        ClientAccountId id = new ClientAccountId(put.getAccountId());
        accounts.put(
                id.value(),
                new Account(
                        id,
                        put.getRatePerSecond(),
                        put.getBurst(),
                        Set.copyOf(put.getDatabasesList()),
                        put.getLatencyObjectiveMillis(),
                        AllowedRegions.of(put.getAllowedRegionsList())));
    }

    private void removeAccount(String accountId) {
        accounts.remove(accountId);
        keys.removeAccount(accountId);
        openRoutes.values().removeIf(route -> route.account().value().equals(accountId));
    }

    private void putDatabase(DatabasePut put) {
        databases.put(
                put.getDatabase(),
                new Database(
                        put.getDatabase(),
                        put.getSlots(),
                        put.getAcknowledgeByQuorum(),
                        put.getEndpointsPerGroup(),
                        put.getConnectionLimit(),
                        put.getPromotionAnswers(),
                        put.getWarmupRatePerSecond()));
    }

    private void removeDatabase(String name) {
        databases.remove(name);
        groups.values().removeIf(group -> group.id().database().equals(name));
        failovers.keySet().removeIf(group -> GroupId.parse(group).database().equals(name));
        endpoints.removeDatabase(name);
    }

    private void putEvacuation(EvacuationPut put) {
        evacuations.put(
                put.getDataCenter(),
                new Evacuation(
                        put.getDataCenter(), put.getOperatorId(), put.getRequestedUnixMillis()));
    }

    private void putGroup(GroupState state) {
        GroupId id = GroupId.parse(state.getGroupId());
        Map<Long, Long> starts = new HashMap<>();
        Group before = groups.get(id.toString());
        if (before != null) {
            starts.putAll(before.startPositions());
        }
        if (state.getStartPosition() > 0) {
            starts.put(state.getTerm(), state.getStartPosition());
        }
        String primary = state.getPrimaryEndpointId();
        groups.put(
                id.toString(),
                new Group(
                        id,
                        state.getTerm(),
                        primary.isEmpty() ? null : new EndpointId(primary),
                        primary.isEmpty()
                                ? null
                                : new HostPort(state.getPrimaryHost(), state.getPrimaryPort()),
                        starts));
    }

    private void putOpenRoute(OpenRoutePut put) {
        openRoutes.put(
                put.getName(),
                new OpenRoute(
                        put.getName(),
                        put.getDatabase(),
                        new ClientAccountId(put.getAccountId()),
                        put.getSql(),
                        put.getAcceptedAgeMillis()));
    }

    private void putFailover(FailoverStep step) {
        if (step.getPhase().isEmpty()) {
            failovers.remove(step.getGroupId());
        } else {
            failovers.put(step.getGroupId(), step);
        }
    }

    private void putPlan(PlanStored plan) {
        plans.put(plan.getPlanId(), plan);
        while (plans.size() > MAX_PLANS) {
            plans.remove(plans.keySet().iterator().next());
        }
    }

    /**
     * Authenticates a caller by key.
     *
     * @param text the key as the caller sent it, or null
     * @return the stored key, which names the account
     * @throws ChivevaleException with KEY_MISSING or KEY_REFUSED
     */
    public StoredKey authenticate(String text) {
        return keys.authenticate(text);
    }

    /**
     * Returns the version of the last entry applied.
     *
     * @return 0 before the first
     */
    public long version() {
        return version;
    }

    /**
     * Finds a client account.
     *
     * @param id its id
     * @return the account, or null
     */
    public Account account(ClientAccountId id) {
        return accounts.get(id.value());
    }

    /**
     * Lists the client accounts by name.
     *
     * @return a read-only view
     */
    public Collection<Account> accounts() {
        return Collections.unmodifiableCollection(accounts.values());
    }

    /**
     * Finds a key that was not withdrawn.
     *
     * @param keyId its public id
     * @return the key, or null
     */
    public StoredKey key(String keyId) {
        return keys.find(keyId);
    }

    /**
     * Lists the keys that were not withdrawn.
     *
     * @return a read-only view
     */
    public Collection<StoredKey> keys() {
        return keys.all();
    }

    /**
     * Finds a database.
     *
     * @param name its name
     * @return the database, or null
     */
    public Database database(String name) {
        return databases.get(name);
    }

    /**
     * Lists the databases by name.
     *
     * @return a read-only view
     */
    public Collection<Database> databases() {
        return Collections.unmodifiableCollection(databases.values());
    }

    /**
     * Finds the hash of a database's announcement credential.
     *
     * @param database the database's name
     * @return the hash, or null
     */
    public byte[] credentialHash(String database) {
        return credentials.get(database);
    }

    /**
     * Finds a group.
     *
     * @param id the group
     * @return its state, with term 0 before the first primary
     */
    public Group group(GroupId id) {
        return groups.getOrDefault(id.toString(), new Group(id, 0, null, null, Map.of()));
    }

    /**
     * Lists the groups that have had a primary.
     *
     * @return a read-only view
     */
    public Collection<Group> groups() {
        return Collections.unmodifiableCollection(groups.values());
    }

    /**
     * Finds an open route.
     *
     * @param name its name
     * @return the route, or null
     */
    public OpenRoute openRoute(String name) {
        return openRoutes.get(name);
    }

    /**
     * Lists the open routes by name.
     *
     * @return a read-only view
     */
    public Collection<OpenRoute> openRoutes() {
        return Collections.unmodifiableCollection(openRoutes.values());
    }

    /**
     * Finds an operator.
     *
     * @param id the operator's name
     * @return the operator, or null
     */
    public Operator operator(String id) {
        return operators.find(id);
    }

    /**
     * Authenticates an operator by key.
     *
     * @param text the key as the operator sent it, or null
     * @return the operator
     * @throws ChivevaleException with OPERATOR_REFUSED when no operator has the key
     */
    public Operator authenticateOperator(String text) {
        return operators.authenticate(text);
    }

    /**
     * Lists the operators by name.
     *
     * @return a read-only view
     */
    public Collection<Operator> operators() {
        return operators.all();
    }

    /**
     * Lists the failovers and switchovers in progress, by group.
     *
     * @return a read-only view
     */
    public Map<String, FailoverStep> failovers() {
        return Collections.unmodifiableMap(failovers);
    }

    /**
     * Lists the stored plans, which operators have confirmed.
     *
     * @return a read-only view, oldest first
     */
    public Collection<PlanStored> plans() {
        return Collections.unmodifiableCollection(plans.values());
    }

    /**
     * Lists the hashes of the databases' announcement credentials.
     *
     * @return a read-only view by database
     */
    public Map<String, byte[]> credentialHashes() {
        return Collections.unmodifiableMap(credentials);
    }

    /**
     * Finds a confirmed plan and its response.
     *
     * @param planId the plan
     * @return the plan, or null
     */
    public PlanStored plan(String planId) {
        return plans.get(planId);
    }

    /**
     * Returns the secret that authenticates session tokens.
     *
     * @return empty before it is set
     */
    public byte[] sessionSecret() {
        return sessionSecret.clone();
    }

    /**
     * Returns the codec for session tokens.
     *
     * @return null before the secret is set
     */
    public SessionTokenCodec sessionTokens() {
        return sessionTokens;
    }

    /**
     * Finds the route that serves sessions of a host.
     *
     * @param host the database name that the caller gave
     * @return the route, or null
     */
    public Route findRouteByHost(String host) {
        return routes.findByHost(host);
    }

    /**
     * Finds a route.
     *
     * @param name its name
     * @return the route, or null
     */
    public Route route(String name) {
        return routes.findByName(name);
    }

    /**
     * Lists the routes of sessions by name.
     *
     * @return a read-only view
     */
    public Collection<Route> routes() {
        return routes.all();
    }

    /**
     * Returns the idle limits of sessions.
     *
     * @return the limits in force
     */
    public SessionLimits sessionLimits() {
        return sessionLimits;
    }

    /**
     * Returns the version of the latest desired configuration that was accepted.
     *
     * @return the operator's version; 0 when there was none
     */
    public long desiredVersion() {
        return desired.getVersion();
    }

    /**
     * Returns the latest desired configuration that was accepted.
     *
     * @return with the source as the operator sent it; without source in proxies
     */
    public DesiredStored desired() {
        return desired;
    }

    /**
     * Lists the latest announcement of each endpoint.
     *
     * @return a read-only view; empty in proxies
     */
    public Collection<EndpointPut> endpoints() {
        return endpoints.all();
    }

    /**
     * Lists the latest announcement of each endpoint of a group.
     *
     * @param group the database group
     * @return a read-only view; empty in proxies
     */
    public Collection<EndpointPut> endpoints(GroupId group) {
        return endpoints.ofGroup(group.toString());
    }

    /**
     * Finds the latest announcement of an endpoint.
     *
     * @param group the database group
     * @param endpoint the endpoint
     * @return the announcement, or null
     */
    public EndpointPut endpoint(GroupId group, EndpointId endpoint) {
        return endpoints.find(group.toString(), endpoint.value());
    }

    /**
     * Tells whether an incarnation of an endpoint has left.
     *
     * @param group the database group
     * @param endpoint the endpoint
     * @param incarnation the incarnation
     * @return true if it or a later one has left, and the endpoint has not registered since
     */
    public boolean hasLeft(GroupId group, EndpointId endpoint, long incarnation) {
        return endpoints.hasLeft(group.toString(), endpoint.value(), incarnation);
    }

    EndpointTable endpointTable() {
        return endpoints;
    }

    /**
     * Lists the evacuations in force, by data centre.
     *
     * @return a read-only view
     */
    public Collection<Evacuation> evacuations() {
        return Collections.unmodifiableCollection(evacuations.values());
    }

    /**
     * Tells whether the endpoints of a data centre take no new work.
     *
     * @param dataCenter the data centre
     * @return true while its evacuation is in force
     */
    public boolean isEvacuated(String dataCenter) {
        return evacuations.containsKey(dataCenter);
    }

    /**
     * Finds a key that another system issued.
     *
     * @param text the key as the caller sent it
     * @return the stored key, or null when no account has it
     */
    public StoredKey findOpaqueKey(String text) {
        return keys.findOpaque(text);
    }

    /**
     * Returns a snapshot: the changes that rebuild the configuration.
     *
     * @param forProxy true to omit the data that only control processes use
     * @return the snapshot
     */
    public ConfigurationSnapshot snapshot(boolean forProxy) {
        return new ConfigurationWriter(this, forProxy).buildSnapshot();
    }
}
