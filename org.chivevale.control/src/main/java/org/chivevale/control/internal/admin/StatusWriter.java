package org.chivevale.control.internal.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.chivevale.control.ControlSettings;
import org.chivevale.control.internal.failover.FailoverService;
import org.chivevale.control.internal.failover.FailoverTimings;
import org.chivevale.control.internal.fleet.EvacuationTracker;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.fleet.InForceTracker;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.fleet.ProxyMemberState;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.config.OpenRoute;
import org.chivevale.core.config.Operator;
import org.chivevale.core.config.Route;
import org.chivevale.core.config.StoredKey;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.process.EventLoop;
import org.chivevale.wire.proto.AccountUse;
import org.chivevale.wire.proto.FailoverStep;

/**
 * Builds the JSON reports for operators, which contain no secrets.
 *
 * <p>Used on the event loop.
 */
final class StatusWriter {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ControlSettings settings;
    private final LogService log;
    private final FleetService fleet;
    private final FailoverService failovers;

    StatusWriter(ControlSettings settings, Kernel kernel) {
        this.settings = settings;
        this.log = kernel.find(LogService.NAME, LogService.class);
        this.fleet = kernel.find(FleetService.NAME, FleetService.class);
        this.failovers = kernel.find(FailoverService.NAME, FailoverService.class);
    }

    ObjectNode health() {
        ObjectNode health = MAPPER.createObjectNode();
        health.put("id", settings.id());
        health.put("leading", log.isLeader());
        health.put("leader", log.leader());
        health.put("version", log.state().configuration().version());
        return health;
    }

    ObjectNode status() {
        ObjectNode status = health();
        ArrayNode proxies = status.putArray("proxies");
        for (ProxyMemberState proxy : fleet.membership().proxies()) {
            proxies.addObject()
                    .put("id", proxy.id())
                    .put("region", proxy.region())
                    .put("data_center", proxy.dataCenter())
                    .put("version", proxy.configVersion());
        }
        ArrayNode groups = status.putArray("groups");
        Configuration configuration = log.state().configuration();
        for (Database database : configuration.databases()) {
            for (int slot = 0; slot < database.slots(); slot++) {
                write(groups.addObject(), configuration, new GroupId(database.name(), slot));
            }
        }
        writeEvacuations(status.putArray("evacuations"));
        writeChanges(status.putArray("changes"));
        writeFailovers(status.putArray("failovers"));
        return status;
    }

    private void write(ObjectNode out, Configuration configuration, GroupId id) {
        Group group = configuration.group(id);
        out.put("group", id.toString());
        out.put("term", group.term());
        out.put("primary", group.primary() == null ? "" : group.primary().value());
        FailoverStep step = configuration.failovers().get(id.toString());
        out.put("replacement", step == null ? "" : step.getPhase());
        out.put("reason", step == null ? "" : step.getReason());
        out.put("blocked", failovers.blockedReason(id));
        ArrayNode members = out.putArray("members");
        for (InstanceAnnouncement member : fleet.membership().instances(id)) {
            members.addObject()
                    .put("endpoint", member.endpoint().value())
                    .put("address", member.address().toString())
                    .put("data_center", member.dataCenter())
                    .put("primary", member.primary())
                    .put("term", member.timeline())
                    .put("follows", member.upstream())
                    .put("leaving", member.shuttingDown())
                    .put("cold", member.cold())
                    .put("announced", fleet.membership().isFresh(member, EventLoop.nowNanos()));
        }
    }

    private void writeEvacuations(ArrayNode out) {
        for (EvacuationTracker.Progress progress : fleet.evacuations().progress()) {
            out.addObject()
                    .put("data_center", progress.evacuation().dataCenter())
                    .put("operator", progress.evacuation().operatorId())
                    .put("requested_unix_ms", progress.evacuation().requestedUnixMillis())
                    .put("version", progress.version())
                    .put("in_force_unix_ms", progress.inForceUnixMillis())
                    .put("proxies_in_force", progress.proxiesInForce())
                    .put("proxies", progress.proxies());
        }
    }

    private void writeChanges(ArrayNode out) {
        for (InForceTracker.TrackedEntry change : fleet.inForceTracker().trackedEntries()) {
            ObjectNode one = out.addObject();
            one.put("version", change.version());
            one.put("operator", change.operator());
            one.put("accepted_unix_ms", change.acceptedUnixMillis());
            one.put("in_force_unix_ms", change.inForceUnixMillis());
            ArrayNode missing = one.putArray("not_acknowledged");
            if (change.inForceUnixMillis() == 0) {
                fleet.leases()
                        .findHoldersBehind(change.version(), EventLoop.nowNanos())
                        .forEach(missing::add);
            }
        }
    }

    private void writeFailovers(ArrayNode out) {
        for (FailoverTimings.CompletedFailover one : failovers.timings().completed()) {
            out.addObject()
                    .put("group", one.group().toString())
                    .put("ended_unix_ms", one.endedUnixMillis())
                    .put("fence_ms", one.fenceMillis())
                    .put("positions_ms", one.collectMillis())
                    .put("promotion_ms", one.promoteMillis());
        }
    }

    ObjectNode configuration() {
        Configuration configuration = log.state().configuration();
        ObjectNode out = MAPPER.createObjectNode();
        out.put("version", configuration.version());
        ArrayNode databases = out.putArray("databases");
        for (Database database : configuration.databases()) {
            databases
                    .addObject()
                    .put("database", database.name())
                    .put("slots", database.slots())
                    .put("endpoints_per_group", database.endpointsPerGroup())
                    .put("acknowledge", database.acknowledgeByQuorum() ? "quorum" : "primary")
                    .put("warmup_per_second", database.warmupRatePerSecond());
        }
        ArrayNode accounts = out.putArray("accounts");
        configuration.accounts().forEach(account -> write(accounts.addObject(), account));
        ArrayNode keys = out.putArray("keys");
        for (StoredKey key : configuration.keys()) {
            keys.addObject().put("key_id", key.id()).put("account", key.account().value());
        }
        ArrayNode callerRoutes = out.putArray("routes");
        for (Route route : configuration.routes()) {
            ObjectNode one = callerRoutes.addObject();
            one.put("route", route.name()).put("database", route.database());
            writeRegions(one, route.allowedRegions());
        }
        ArrayNode routes = out.putArray("open_routes");
        for (OpenRoute route : configuration.openRoutes()) {
            routes.addObject()
                    .put("name", route.name())
                    .put("database", route.database())
                    .put("account", route.account().value())
                    .put("sql", route.sql())
                    .put("accepted_age_ms", route.acceptedAgeMillis());
        }
        ArrayNode operators = out.putArray("operators");
        for (Operator operator : configuration.operators()) {
            operators
                    .addObject()
                    .put("operator", operator.id())
                    .put("role", operator.role().name());
        }
        return out;
    }

    private static void write(ObjectNode out, Account account) {
        out.put("account", account.id().value());
        out.put("rate_per_second", account.ratePerSecond());
        out.put("burst", account.burst());
        out.put("latency_objective_ms", account.latencyObjectiveMillis());
        ArrayNode databases = out.putArray("databases");
        account.databases().stream().sorted().forEach(databases::add);
        writeRegions(out, account.allowedRegions());
    }

    private static void writeRegions(ObjectNode out, AllowedRegions allowed) {
        allowed.toList().forEach(out.putArray("allowed_regions")::add);
    }

    ObjectNode report() {
        ObjectNode out = MAPPER.createObjectNode();
        ArrayNode accounts = out.putArray("accounts");
        for (AccountUse use : fleet.accountUses().sums().values()) {
            accounts.addObject()
                    .put("account", use.getAccountId())
                    .put("served", use.getServed())
                    .put("served_within_objective", use.getServedWithinObjective())
                    .put("refused_rate", use.getRefusedRate())
                    .put("failed", use.getFailed())
                    .put("replica_reads", use.getReplicaReads())
                    .put("reads", use.getReads());
        }
        writeFailovers(out.putArray("failovers"));
        return out;
    }
}
