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
final class GroupReconciler {
    private static final Logger LOG = Logger.getLogger(GroupReconciler.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RETRY_MILLIS = 200;
    private static final long PURGE_INTERVAL_MILLIS = 60_000;
    private static final int PURGE_MAX_ROWS = 10_000;
    private static final long PROVISION_TIMEOUT_MILLIS = 10_000;
    private static final String OPERATOR = "keeper";

    private final GroupId group;
    private final LogService log;
    private final FleetService fleet;
    private final MemberClient memberClient;
    private final Map<String, Long> lastAttemptNanos = new HashMap<>();
    private final Set<ClientAccountId> provisioned = new HashSet<>();
    private long provisionedTerm;
    private boolean proposing;
    private boolean provisioning;
    private long lastProvisionNanos;
    private long lastPurgeNanos;

    GroupReconciler(GroupId group, LogService log, FleetService fleet, MemberClient memberClient) {
        this.group = group;
        this.log = log;
        this.fleet = fleet;
        this.memberClient = memberClient;
    }

    /** Runs all steps that are due. */
    void reconcile() {
        Configuration configuration = log.state().configuration();
        Group state = configuration.group(group);
        if (state.term() == 0) {
            discoverPrimary();
        } else if (state.primary() != null) {
            updatePrimaryAddress(state);
            fleet.membership()
                    .instances(group)
                    .forEach(instance -> ensureFollowsPrimary(state, instance));
            provision(configuration, state);
            purgeRequests(state);
        }
    }

    private void discoverPrimary() {
        for (InstanceAnnouncement instance : fleet.membership().instances(group)) {
            if (!instance.primary()) {
                continue;
            }
            if (instance.followsAutomatically()) {
                requestTerm(instance);
            } else {
                publishPrimary(instance, instance.timeline());
            }
            return;
        }
    }

    /** Requests the term from the member, for databases whose announcements do not contain it. */
    private void requestTerm(InstanceAnnouncement instance) {
        if (isThrottled(instance)) {
            return;
        }
        memberClient
                .call(instance.target(), MemberConnection::memberStatus)
                .onSuccess(
                        status -> {
                            if (status.primary()) {
                                publishPrimary(instance, status.timeline());
                            }
                        })
                .onFailure(
                        failure ->
                                LOG.warnf(
                                        "group %s: cannot get the term of %s: %s",
                                        group, instance.endpoint(), failure));
    }

    private boolean isThrottled(InstanceAnnouncement instance) {
        long now = EventLoop.nowNanos();
        Long lastNanos = lastAttemptNanos.put(instance.endpoint().value(), now);
        boolean retriedTooSoon =
                lastNanos != null && (now - lastNanos) / NANOS_PER_MILLI < RETRY_MILLIS;
        if (retriedTooSoon) {
            lastAttemptNanos.put(instance.endpoint().value(), lastNanos);
        }
        return retriedTooSoon;
    }

    private void updatePrimaryAddress(Group state) {
        InstanceAnnouncement announced = fleet.membership().instance(state.primary(), group);
        boolean moved =
                announced != null
                        && announced.primary()
                        && (announced.followsAutomatically()
                                || announced.timeline() == state.term())
                        && !announced.address().equals(state.address());
        if (moved) {
            publishPrimary(announced, state.term());
        }
    }

    private void publishPrimary(InstanceAnnouncement instance, long term) {
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
                                            FailoverChanges.primaryChange(
                                                    group.toString(),
                                                    instance.endpoint(),
                                                    instance.address(),
                                                    term,
                                                    0));
                        })
                .onComplete(ended -> proposing = false);
    }

    private void ensureFollowsPrimary(Group state, InstanceAnnouncement instance) {
        boolean isPrimary = instance.endpoint().equals(state.primary());
        boolean followsPrimary =
                isPrimary
                        || !instance.primary()
                                && (instance.followsAutomatically()
                                        || instance.upstream().equals(state.address().toString()));
        if (followsPrimary || !fleet.membership().isFresh(instance, EventLoop.nowNanos())) {
            return;
        }
        if (isThrottled(instance)) {
            return;
        }
        memberClient
                .call(
                        instance.target(),
                        connection ->
                                instance.followsAutomatically()
                                        ? connection.stepDown(state.term())
                                        : connection.follow(
                                                state.address().host(), state.address().port()))
                .onFailure(
                        failure ->
                                LOG.debugf(
                                        "group %s: cannot make %s follow the primary: %s",
                                        group, instance.endpoint(), failure));
    }

    private MemberTarget primaryTarget(Group state) {
        return new MemberTarget(state.primary(), group, state.address());
    }

    private void provision(Configuration configuration, Group state) {
        if (provisionedTerm != state.term()) {
            provisionedTerm = state.term();
            provisioned.clear();
        }
        List<ClientAccountId> unprovisioned = unprovisionedAccounts(configuration);
        long now = EventLoop.nowNanos();
        boolean tooSoon = (now - lastProvisionNanos) / NANOS_PER_MILLI < RETRY_MILLIS;
        if (unprovisioned.isEmpty() || provisioning || lastProvisionNanos != 0 && tooSoon) {
            return;
        }
        provisioning = true;
        lastProvisionNanos = now;
        memberClient
                .call(
                        primaryTarget(state),
                        PROVISION_TIMEOUT_MILLIS,
                        connection -> connection.provision(unprovisioned))
                .onComplete(
                        ended -> {
                            provisioning = false;
                            if (ended.succeeded() && provisionedTerm == state.term()) {
                                provisioned.addAll(unprovisioned);
                            } else if (ended.failed()) {
                                LOG.debugf(
                                        "group %s: cannot create the roles at the primary: %s",
                                        group, ended.cause());
                            }
                        });
    }

    private List<ClientAccountId> unprovisionedAccounts(Configuration configuration) {
        List<ClientAccountId> unprovisioned = new ArrayList<>();
        for (Account account : configuration.accounts()) {
            boolean wanted = account.databases().contains(group.database());
            if (wanted && !provisioned.contains(account.id())) {
                unprovisioned.add(account.id());
            }
        }
        return unprovisioned;
    }

    private void purgeRequests(Group state) {
        long now = EventLoop.nowNanos();
        if (lastPurgeNanos != 0
                && (now - lastPurgeNanos) / NANOS_PER_MILLI < PURGE_INTERVAL_MILLIS) {
            return;
        }
        lastPurgeNanos = now;
        if (provisioned.isEmpty()) {
            return;
        }
        long before = System.currentTimeMillis() - 2 * RequestIds.WINDOW_MILLIS;
        memberClient.call(
                primaryTarget(state),
                PROVISION_TIMEOUT_MILLIS,
                connection -> connection.purgeRequests(before, PURGE_MAX_ROWS));
    }
}
