package org.chivevale.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Commands on client accounts and their keys.
 *
 * <p>Each is used by one thread.
 */
final class AccountCommands {
    private AccountCommands() {}

    /** Options that describe a client account. */
    abstract static class AccountCommand extends IntentCommand {
        @Arguments(title = "ACCOUNT", description = "The client account")
        @Required
        private String account;

        @Option(
                name = {"--rate"},
                title = "N",
                description = "Requests per second over all proxies")
        private Double rate;

        @Option(
                name = {"--burst"},
                title = "N",
                description = "Size of a burst, in requests")
        private Integer burst;

        @Option(
                name = {"--databases"},
                title = "A,B",
                description = "Databases it may use")
        private String databases;

        @Option(
                name = {"--objective-ms"},
                title = "MS",
                description = "Latency objective; responses within it count as in time")
        private Integer objectiveMillis;

        @Option(
                name = {"--regions"},
                title = "A,B",
                description = "Regions its requests may run in; '' for every region")
        private String regions;

        ObjectNode buildIntent(String kind) {
            ObjectNode intent = intent(kind).put("account", account);
            putNumber(intent, "rate_per_second", rate);
            putNumber(intent, "burst", burst);
            putList(intent, "databases", databases);
            putNumber(intent, "latency_objective_ms", objectiveMillis);
            putRegions(intent, regions);
            return intent;
        }
    }

    /** Creates a client account. */
    @Command(name = "create", description = "Create a client account")
    public static final class AccountCreate extends AccountCommand {
        @Override
        ObjectNode intent() {
            return buildIntent("account-create");
        }
    }

    /** Changes rate, burst, databases, latency objective or regions. */
    @Command(
            name = "set",
            description = "Change rate, burst, databases, latency objective or regions")
    public static final class AccountChange extends AccountCommand {
        @Override
        ObjectNode intent() {
            return buildIntent("account-change");
        }
    }

    /** Removes a client account and its keys. */
    @Command(name = "remove", description = "Remove a client account and its keys")
    public static final class AccountRemove extends IntentCommand {
        @Arguments(title = "ACCOUNT", description = "The client account")
        @Required
        private String account;

        @Override
        ObjectNode intent() {
            return intent("account-remove").put("account", account);
        }
    }

    /** Creates a key of a client account; it is shown only once. */
    @Command(name = "create", description = "Create a key of a client account; it is shown once")
    public static final class KeyCreate extends IntentCommand {
        @Arguments(title = "ACCOUNT", description = "The client account")
        @Required
        private String account;

        @Override
        ObjectNode intent() {
            return intent("key-create").put("account", account);
        }
    }

    /** Withdraws a key. */
    @Command(name = "withdraw", description = "Withdraw a key")
    public static final class KeyWithdraw extends IntentCommand {
        @Arguments(title = "KEY_ID", description = "The key's public id")
        @Required
        private String keyId;

        @Override
        ObjectNode intent() {
            return intent("key-withdraw").put("key_id", keyId);
        }
    }
}
