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
import org.chivevale.process.EventLoop;
import org.jboss.logging.Logger;

/**
 * Keeps one group as the log says: the first primary, who follows whom, roles and tables.
 *
 * <p>Each step may be repeated without harm. Used on the event loop.
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
    private final Map<String, Long> followTriedNanos = new HashMap<>();
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
            if (instance.primary()) {
                publish(instance);
                return;
            }
        }
    }

    private void followMovedAddress(Group state) {
        InstanceAnnouncement announced = fleet.membership().instance(state.primary(), group);
        boolean moved =
                announced != null
                        && announced.primary()
                        && announced.timeline() == state.term()
                        && !announced.address().equals(state.address());
        if (moved) {
            publish(announced);
        }
    }

    private void publish(InstanceAnnouncement instance) {
        if (proposing) {
            return;
        }
        proposing = true;
        log.propose(
                        OPERATOR,
                        "",
                        now -> {
                            Group state = now.group(group);
                            boolean overtaken =
                                    state.term() != 0
                                            && !instance.endpoint().equals(state.primary());
                            return overtaken
                                    ? List.of()
                                    : List.of(
                                            FailoverChanges.primary(
                                                    group.toString(),
                                                    instance.endpoint(),
                                                    instance.address(),
                                                    instance.timeline(),
                                                    0));
                        })
                .onComplete(ended -> proposing = false);
    }

    private void follow(Group state, InstanceAnnouncement instance) {
        long now = EventLoop.nowNanos();
        boolean right =
                instance.endpoint().equals(state.primary())
                        || !instance.primary()
                                && instance.upstream().equals(state.address().toString());
        if (right || !fleet.membership().fresh(instance, now)) {
            return;
        }
        String key = instance.endpoint().value();
        Long tried = followTriedNanos.get(key);
        if (tried != null && (now - tried) / NANOS_PER_MILLI < RETRY_MILLIS) {
            return;
        }
        followTriedNanos.put(key, now);
        members.call(
                        instance.address(),
                        group,
                        connection ->
                                connection.follow(state.address().host(), state.address().port()))
                .onFailure(
                        failure ->
                                LOG.debugf(
                                        "group %s: %s does not follow yet: %s",
                                        group, instance.endpoint(), failure));
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
                        state.address(),
                        group,
                        PROVISION_TIMEOUT_MILLIS,
                        connection -> connection.provision(missing))
                .onComplete(
                        ended -> {
                            provisioning = false;
                            if (ended.succeeded() && provisionedTerm == state.term()) {
                                provisioned.addAll(missing);
                            } else if (ended.failed()) {
                                LOG.debugf("group %s: roles not made: %s", group, ended.cause());
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
                state.address(),
                group,
                PROVISION_TIMEOUT_MILLIS,
                connection -> connection.purgeRequests(before, PURGE_AT_MOST));
    }
}
