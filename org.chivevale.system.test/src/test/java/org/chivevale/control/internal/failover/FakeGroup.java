package org.chivevale.control.internal.failover;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.fleet.Membership;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.failover.AcknowledgedWrites;
import org.chivevale.core.failover.FailoverPolicy;
import org.chivevale.core.failover.FailureDetector;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.lease.LeaseGrantor;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.MemberConnection;
import org.chivevale.database.MemberStatus;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.PromotionOrder;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.EndpointRemoved;
import org.chivevale.wire.proto.EvacuationPut;
import org.chivevale.wire.proto.EvacuationRemoved;
import org.chivevale.wire.proto.FailoverStep;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RoutePut;

/**
 * A group of three members, or more if added, on a virtual clock: a log that commits at once, one
 * proxy that renews its lease and acknowledges every version, and members that answer at once or
 * not at all. Member {@code e-N} is in data centre {@code dc-N} and region {@code r-N}.
 */
final class FakeGroup {
    static final GroupId ID = new GroupId("orders", 0);
    private static final String PROXY = "proxy-1/1";
    private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);
    private static final long ANNOUNCEMENT_TTL_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    private static final int PORT = 5432;

    final Configuration configuration = new Configuration();
    final Map<String, Member> members = new TreeMap<>();
    int fences;
    int plannedFences;
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private Membership membership;
    private LeaseGrantor leases;
    private FailureDetector detector;
    private AcknowledgedWrites acknowledged;
    private GroupFailover failover;
    private LostReplicaMarker lostReplicas;

    /** One member; fields are set by the tests. */
    static final class Member {
        boolean alive = true;
        boolean primary;
        boolean leaving;
        boolean refusesPromotion;
        boolean busy;
        boolean announces = true;

        /** Lets calls to it stay without an answer until they are failed. */
        boolean delaysCalls;

        private final List<Promise<MemberConnection>> delayed = new ArrayList<>();

        void failDelayedCalls() {
            delayed.forEach(call -> call.fail("not reachable"));
            delayed.clear();
        }

        /** Neither announces itself nor answers control, but proxies reach it. */
        boolean cutFromControl;

        long timeline = 1;
        long position = 10;
        int promotions;
    }

    FakeGroup() {
        for (int number = 1; number <= 3; number++) {
            members.put("e-" + number, new Member());
        }
        member(1).primary = true;
        commit(
                Change.newBuilder()
                        .setDatabasePut(
                                DatabasePut.newBuilder()
                                        .setDatabase(ID.database())
                                        .setSlots(1)
                                        .setAcknowledgeByQuorum(true)
                                        .setEndpointsPerGroup(3))
                        .build());
        commit(
                FailoverChanges.primaryChange(
                        ID.toString(), new EndpointId("e-1"), address(), 1, 1));
        electLeader();
        run(5000);
    }

    private static HostPort address() {
        return new HostPort("127.0.0.1", PORT);
    }

    Member member(int number) {
        return members.get("e-" + number);
    }

    private void commit(Change... changes) {
        commit(List.of(changes));
    }

    private long commit(List<Change> changes) {
        if (changes.isEmpty()) {
            return 0;
        }
        for (Change change : changes) {
            boolean fence =
                    change.hasFailoverStep()
                            && change.getFailoverStep().getPhase().equals("FENCING")
                            && !configuration.failovers().containsKey(ID.toString());
            fences += fence ? 1 : 0;
            plannedFences += fence && change.getFailoverStep().getPlanned() ? 1 : 0;
        }
        long version = configuration.version() + 1;
        configuration.apply(
                LogEntry.newBuilder().setVersion(version).addAllChanges(changes).build());
        return version;
    }

    /** Adds a member that follows the primary. */
    Member addMember(int number) {
        Member member = new Member();
        members.put("e-" + number, member);
        return member;
    }

    /** Lets the proxy report a position of the present term as acknowledged. */
    void reportAcknowledged(long position) {
        acknowledged.report(term(), position);
    }

    void evacuate(int dataCenter) {
        commit(
                Change.newBuilder()
                        .setEvacuationPut(
                                EvacuationPut.newBuilder().setDataCenter("dc-" + dataCenter))
                        .build());
    }

    void withdraw(int dataCenter) {
        commit(
                Change.newBuilder()
                        .setEvacuationRemoved(
                                EvacuationRemoved.newBuilder().setDataCenter("dc-" + dataCenter))
                        .build());
    }

    /** Registers all members in the log. */
    void registerAll() {
        for (String name : members.keySet()) {
            commit(
                    Change.newBuilder()
                            .setEndpointPut(
                                    EndpointPut.newBuilder()
                                            .setGroupId(ID.toString())
                                            .setEndpointId(name)
                                            .setIncarnation(1))
                            .build());
        }
    }

    boolean isMarkedLost(int number) {
        return configuration.endpoint(ID, new EndpointId("e-" + number)).getLost();
    }

    /** Ends the registration of a member, as when it deregisters or another has its address. */
    void endRegistration(int number) {
        commit(
                Change.newBuilder()
                        .setEndpointRemoved(
                                EndpointRemoved.newBuilder()
                                        .setGroupId(ID.toString())
                                        .setEndpointId("e-" + number)
                                        .setIncarnation(1))
                        .build());
    }

    void allowRegions(List<String> regions) {
        commit(
                Change.newBuilder()
                        .setRoutePut(
                                RoutePut.newBuilder()
                                        .setName("route")
                                        .setDatabase(ID.database())
                                        .setReadPolicy("PRIMARY")
                                        .addAllAllowedRegions(regions))
                        .build());
    }

    /** Starts a leader that knows the log only; leases of the old leader may still be valid. */
    void electLeader() {
        membership = new Membership(configuration, nowNanos);
        leases = new LeaseGrantor(LEASE_NANOS, 0, nowNanos);
        detector = new FailureDetector(LEASE_NANOS);
        acknowledged = new AcknowledgedWrites();
        failover =
                new GroupFailover(
                        ID,
                        new Log(),
                        new Fleet(),
                        new MemberClient(this::connect),
                        new FailoverPolicy(3000, 1500),
                        new FailoverTimings(new SimpleMeterRegistry()));
        lostReplicas = new LostReplicaMarker(ID, new Log(), new Fleet());
    }

    /** Lets the proxy report that the primary responds. */
    void reportHealthyPrimary() {
        detector.report(PROXY, "dc-1", configuration.group(ID).primary(), term(), false, nowNanos);
    }

    void suspectPrimary() {
        detector.report(PROXY, "dc-1", configuration.group(ID).primary(), term(), true, nowNanos);
    }

    String primary() {
        EndpointId primary = configuration.group(ID).primary();
        return primary == null ? "" : primary.value();
    }

    long term() {
        return configuration.group(ID).term();
    }

    String phase() {
        FailoverStep step = configuration.failovers().get(ID.toString());
        return step == null ? "" : step.getPhase();
    }

    String blockedReason() {
        return failover.blockedReason();
    }

    void run(long millis) {
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        runUntil(() -> nowNanos >= endNanos);
    }

    void runUntilPrimary(String endpoint) {
        runUntil(() -> primary().equals(endpoint));
    }

    /** Runs until the group has a primary other than the given one. */
    void runUntilReplaced(String endpoint) {
        runUntil(() -> !primary().isEmpty() && !primary().equals(endpoint));
    }

    /**
     * Runs until a condition holds; fails when it does not within a minute of the virtual clock.
     */
    void runUntil(BooleanSupplier condition) {
        long deadlineNanos = nowNanos + TimeUnit.MINUTES.toNanos(1);
        while (!condition.getAsBoolean()) {
            if (nowNanos > deadlineNanos) {
                throw new AssertionError(
                        "phase '" + phase() + "', primary '" + primary() + "', " + blockedReason());
            }
            nowNanos += TICK_NANOS;
            leases.grant(PROXY, configuration.version(), nowNanos);
            members.forEach(this::announce);
            membership.removeExpired(nowNanos);
            failover.tick();
            lostReplicas.check();
        }
    }

    private void announce(String name, Member member) {
        if (member.alive && member.announces && !member.cutFromControl) {
            load(name, member);
        }
    }

    /** Lets a new leader take a member from its log, before any announcement. */
    void load(int number) {
        load("e-" + number, member(number));
    }

    private void load(String name, Member member) {
        String number = name.substring(2);
        membership.announce(
                new InstanceAnnouncement(
                        new EndpointId(name),
                        ID,
                        address(),
                        "r-" + number,
                        "dc-" + number,
                        1,
                        member.primary,
                        0,
                        "",
                        20,
                        member.leaving,
                        true),
                nowNanos + ANNOUNCEMENT_TTL_NANOS);
    }

    private Future<MemberConnection> connect(MemberTarget target) {
        Member member = members.get(target.endpoint().value());
        if (member.delaysCalls) {
            Promise<MemberConnection> call = Promise.promise();
            member.delayed.add(call);
            return call.future();
        }
        return member.alive && !member.cutFromControl
                ? Future.succeededFuture(new Connection(member, term()))
                : Future.failedFuture("not reachable");
    }

    /** The log of the leader. */
    private final class Log implements FailoverLog {
        @Override
        public Configuration configuration() {
            return configuration;
        }

        @Override
        public Future<Long> propose(LogService.ChangeBuilder changeBuilder) {
            return Future.succeededFuture(commit(changeBuilder.buildChanges(configuration)));
        }

        @Override
        public PromotionOrder promotionOrder() {
            return new PromotionOrder("control-1", 1, () -> true);
        }
    }

    /** What the leader knows of the fleet. */
    private final class Fleet implements FailoverFleet {
        @Override
        public Membership membership() {
            return membership;
        }

        @Override
        public LeaseGrantor leases() {
            return leases;
        }

        @Override
        public FailureDetector failureDetector(GroupId group) {
            return detector;
        }

        @Override
        public AcknowledgedWrites acknowledgedWrites(GroupId group) {
            return acknowledged;
        }

        @Override
        public long nowNanos() {
            return nowNanos;
        }
    }

    /** A connection that answers at once. */
    private record Connection(Member member, long term) implements MemberConnection {
        @Override
        public Future<MemberStatus> memberStatus() {
            if (member.busy) {
                return Future.failedFuture(
                        new DatabaseFailure(DatabaseFailure.Kind.NO_FREE_SLOT, "", "no slot"));
            }
            return Future.succeededFuture(
                    new MemberStatus(member.primary, member.timeline, member.position));
        }

        @Override
        public Future<MemberStatus> promote(PromotionOrder order) {
            if (member.refusesPromotion) {
                return Future.failedFuture("refused");
            }
            member.promotions++;
            member.timeline = member.primary ? member.timeline : term + 1;
            member.primary = true;
            return memberStatus();
        }

        @Override
        public Future<Void> follow(String host, int port) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> stopReplication(long term) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> provision(List<ClientAccountId> accounts) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Integer> purgeRequests(long beforeUnixMillis, int atMost) {
            return Future.succeededFuture(0);
        }

        @Override
        public void close() {}
    }
}
