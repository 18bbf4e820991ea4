package org.chivevale.core.config;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivevale.wire.proto.AccountRemoved;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabaseRemoved;
import org.chivevale.wire.proto.DesiredStored;
import org.chivevale.wire.proto.KeyWithdrawn;
import org.chivevale.wire.proto.RouteRemoved;

/**
 * Computes the changes that turn the configuration in force into a desired one.
 *
 * <p>Invariant: applying them to the configuration gives the desired routes, databases, accounts
 * and keys, whatever was there before. Removals of accounts and keys come first, so that a key can
 * move to another account. For a single comparison; not thread safe.
 */
public final class ConfigurationDiff {
    private final Configuration current;
    private final DesiredConfiguration desired;
    private final List<Change> changes = new ArrayList<>();

    /**
     * Prepares a comparison.
     *
     * @param current the configuration in force
     * @param desired the desired configuration
     */
    public ConfigurationDiff(Configuration current, DesiredConfiguration desired) {
        this.current = current;
        this.desired = desired;
    }

    /**
     * Computes the changes.
     *
     * @return the changes; none when the desired version is not above the latest accepted one
     */
    public List<Change> computeChanges() {
        if (desired.version() <= current.desiredVersion()) {
            return List.of();
        }
        removeKeysAndAccounts();
        desired.databases().forEach(this::put);
        desired.accounts().forEach(this::put);
        desired.keys().forEach(this::put);
        putAndRemoveRoutes();
        removeDatabases();
        if (!desired.limits().equals(current.sessionLimits())) {
            changes.add(ConfigurationWriter.change(desired.limits()));
        }
        changes.add(
                Change.newBuilder()
                        .setDesiredStored(
                                DesiredStored.newBuilder()
                                        .setVersion(desired.version())
                                        .setSource(ByteString.copyFrom(desired.source())))
                        .build());
        return changes;
    }

    private void removeKeysAndAccounts() {
        Set<String> keys = new HashSet<>();
        desired.keys().forEach(key -> keys.add(key.id()));
        for (StoredKey key : current.keys()) {
            if (!keys.contains(key.id())) {
                changes.add(
                        Change.newBuilder()
                                .setKeyWithdrawn(KeyWithdrawn.newBuilder().setKeyId(key.id()))
                                .build());
            }
        }
        Set<String> accounts = new HashSet<>();
        desired.accounts().forEach(account -> accounts.add(account.id().value()));
        for (Account account : current.accounts()) {
            if (!accounts.contains(account.id().value())) {
                changes.add(
                        Change.newBuilder()
                                .setAccountRemoved(
                                        AccountRemoved.newBuilder()
                                                .setAccountId(account.id().value()))
                                .build());
            }
        }
    }

    private void put(Database database) {
        if (!database.equals(current.database(database.name()))) {
            changes.add(ConfigurationWriter.change(database));
        }
    }

    private void put(Account account) {
        if (!account.equals(current.account(account.id()))) {
            changes.add(ConfigurationWriter.change(account));
        }
    }

    private void put(StoredKey key) {
        StoredKey before = current.key(key.id());
        boolean unchanged =
                before != null
                        && before.account().equals(key.account())
                        && Arrays.equals(before.hash(), key.hash());
        if (!unchanged) {
            changes.add(ConfigurationWriter.change(key));
        }
    }

    private void putAndRemoveRoutes() {
        Set<String> names = new HashSet<>();
        for (Route route : desired.routes()) {
            names.add(route.name());
            if (!route.equals(current.route(route.name()))) {
                changes.add(ConfigurationWriter.change(route));
            }
        }
        for (Route route : current.routes()) {
            if (!names.contains(route.name())) {
                changes.add(
                        Change.newBuilder()
                                .setRouteRemoved(RouteRemoved.newBuilder().setName(route.name()))
                                .build());
            }
        }
    }

    private void removeDatabases() {
        Set<String> names = new HashSet<>();
        desired.databases().forEach(database -> names.add(database.name()));
        for (Database database : current.databases()) {
            if (!names.contains(database.name())) {
                changes.add(
                        Change.newBuilder()
                                .setDatabaseRemoved(
                                        DatabaseRemoved.newBuilder().setDatabase(database.name()))
                                .build());
            }
        }
    }
}
