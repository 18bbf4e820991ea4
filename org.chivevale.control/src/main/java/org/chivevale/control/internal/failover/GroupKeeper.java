package org.chivevale.control.internal.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.request.RequestIds;
import org.chivevale.database.MemberConnection;
import org.chivevale.database.MemberTarget;
import org.chivevale.process.EventLoop;
import org.jboss.logging.Logger;

/**
 * Reconciles one group with the configuration: its first primary, the primary's address, the
 * upstream of its replicas, and the roles and tables at its primary.
 *
 * <p>All steps are idempotent. Used on the event loop.
 */
final class GroupKeeper {
    private static final Logger LOG = Logger.getLogger(GroupKeeper.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RETRY_MILLIS = 200;
    private static final long PURGE_EVERY_MILLIS = 60_000;
    private static final int PURGE_AT_MOST = 10_000;
    private static final long PROVISION_TIMEOUT_MILLIS = 10_000;
    private static final String OPERATOR = "keeper";

    private final GroupId group;
    private final LogService log;
    private final FleetService fleet;
    private final MemberCaller members;
    private final Map<String, Long> triedNanos = new HashMap<>();
    private final Set<ClientAccountId> provisioned = new HashSet<>();
    private long provisionedTerm;
    private boolean proposing;
    private boolean provisioning;
    private long provisionTriedNanos;
    private long purgedNanos;

    GroupKeeper(GroupId group, LogService log, FleetService fleet, MemberCaller members) {
        this.group = group;
        this.log = log;
        this.fleet = fleet;
        this.members = members;
    }

    void tick() {
        Configuration configuration = log.state().configuration();
        Group state = configuration.group(group);
        if (state.term() == 0) {
            findFirstPrimary();
        } else if (state.primary() != null) {
            followMovedAddress(state);
            fleet.membership().instances(group).forEach(instance -> follow(state, instance));
            provision(configuration, state);
            purge(state);
        }
    }

    private void findFirstPrimary() {
        for (InstanceAnnouncement instance : fleet.membership().instances(group)) {
            if (!instance.primary()) {
                continue;
            }
            if (instance.followsByItself()) {
                askTerm(instance);
            } else {
                publish(instance, instance.timeline());
            }
            return;
        }
    }

    /** Requests the term from the member, for databases whose announcements do not contain it. */
    private void askTerm(InstanceAnnouncement instance) {
        if (tooSoon(instance)) {
            return;
        }
        members.call(instance.target(), MemberConnection::memberStatus)
                .onSuccess(
                        status -> {
                            if (status.primary()) {
                                publish(instance, status.timeline());
                            }
                        })
                .onFailure(
                        failure ->
                                LOG.warnf(
                                        "group %s: cannot get the term of %s: %s",
                                        group, instance.endpoint(), failure));
    }

    private boolean tooSoon(InstanceAnnouncement instance) {
        long now = EventLoop.nowNanos();
        Long tried = triedNanos.put(instance.endpoint().value(), now);
        boolean retriedTooSoon = tried != null && (now - tried) / NANOS_PER_MILLI < RETRY_MILLIS;
        if (retriedTooSoon) {
            triedNanos.put(instance.endpoint().value(), tried);
        }
        return retriedTooSoon;
    }

    private void followMovedAddress(Group state) {
        InstanceAnnouncement announced = fleet.membership().instance(state.primary(), group);
        boolean moved =
                announced != null
                        && announced.primary()
                        && (announced.followsByItself() || announced.timeline() == state.term())
                        && !announced.address().equals(state.address());
        if (moved) {
            publish(announced, state.term());
        }
    }

    private void publish(InstanceAnnouncement instance, long term) {
        if (proposing) {
            return;
        }
        proposing = true;
        log.propose(
                        OPERATOR,
                        "",
                        now -> {
                            Group state = now.group(group);
                            boolean otherPrimary =
                                    state.term() != 0
                                            && !instance.endpoint().equals(state.primary());
                            return otherPrimary
                                    ? List.of()
                                    : List.of(
                                            FailoverChanges.primary(
                                                    group.toString(),
                                                    instance.endpoint(),
                                                    instance.address(),
                                                    term,
                                                    0));
                        })
                .onComplete(ended -> proposing = false);
    }

    private void follow(Group state, InstanceAnnouncement instance) {
        boolean isPrimary = instance.endpoint().equals(state.primary());
        boolean followsPrimary =
                isPrimary
                        || !instance.primary()
                                && (instance.followsByItself()
                                        || instance.upstream().equals(state.address().toString()));
        if (followsPrimary || !fleet.membership().fresh(instance, EventLoop.nowNanos())) {
            return;
        }
        if (tooSoon(instance)) {
            return;
        }
        members.call(
                        instance.target(),
                        connection ->
                                instance.followsByItself()
                                        ? connection.stepDown(state.term())
                                        : connection.follow(
                                                state.address().host(), state.address().port()))
                .onFailure(
                        failure ->
                                LOG.debugf(
                                        "group %s: cannot make %s follow the primary: %s",
                                        group, instance.endpoint(), failure));
    }

    private MemberTarget primary(Group state) {
        return new MemberTarget(state.primary(), group, state.address());
    }

    private void provision(Configuration configuration, Group state) {
        if (provisionedTerm != state.term()) {
            provisionedTerm = state.term();
            provisioned.clear();
        }
        List<ClientAccountId> missing = missing(configuration);
        long now = EventLoop.nowNanos();
        boolean tooSoon = (now - provisionTriedNanos) / NANOS_PER_MILLI < RETRY_MILLIS;
        if (missing.isEmpty() || provisioning || provisionTriedNanos != 0 && tooSoon) {
            return;
        }
        provisioning = true;
        provisionTriedNanos = now;
        members.call(
                        primary(state),
                        PROVISION_TIMEOUT_MILLIS,
                        connection -> connection.provision(missing))
                .onComplete(
                        ended -> {
                            provisioning = false;
                            if (ended.succeeded() && provisionedTerm == state.term()) {
                                provisioned.addAll(missing);
                            } else if (ended.failed()) {
                                LOG.debugf(
                                        "group %s: cannot create the roles at the primary: %s",
                                        group, ended.cause());
                            }
                        });
    }

    private List<ClientAccountId> missing(Configuration configuration) {
        List<ClientAccountId> missing = new ArrayList<>();
        for (Account account : configuration.accounts()) {
            boolean wanted = account.databases().contains(group.database());
            if (wanted && !provisioned.contains(account.id())) {
                missing.add(account.id());
            }
        }
        return missing;
    }

    private void purge(Group state) {
        long now = EventLoop.nowNanos();
        if (purgedNanos != 0 && (now - purgedNanos) / NANOS_PER_MILLI < PURGE_EVERY_MILLIS) {
            return;
        }
        purgedNanos = now;
        if (provisioned.isEmpty()) {
            return;
        }
        long before = System.currentTimeMillis() - 2 * RequestIds.WINDOW_MILLIS;
        members.call(
                primary(state),
                PROVISION_TIMEOUT_MILLIS,
                connection -> connection.purgeRequests(before, PURGE_AT_MOST));
    }
}
