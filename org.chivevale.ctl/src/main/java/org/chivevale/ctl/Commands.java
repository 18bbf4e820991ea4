package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * The commands of {@code chivevalectl}.
 *
 * <p>Each is used by one thread.
 */
public final class Commands {
    private Commands() {}

    private static void putNumber(ObjectNode intent, String name, Number value) {
        if (value instanceof Integer whole) {
            intent.put(name, whole);
        } else if (value != null) {
            intent.put(name, value.doubleValue());
        }
    }

    private static void putText(ObjectNode intent, String name, String value) {
        if (value != null) {
            intent.put(name, value);
        }
    }

    private static void putList(ObjectNode intent, String name, String commaSeparated) {
        if (commaSeparated == null) {
            return;
        }
        for (String item : commaSeparated.split(",")) {
            if (!item.isEmpty()) {
                intent.withArray(name).add(item);
            }
        }
    }

    private static JsonNode readFile(String file) {
        try {
            return CtlCommand.MAPPER.readTree(
                    file.equals("-")
                            ? System.in.readAllBytes()
                            : Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, file + ": " + e.getMessage());
        }
    }

    /** Make a random key, such as a first operator's. */
    @Command(name = "new-key", description = "Make a random key, such as a first operator's")
    public static final class NewKey extends CtlCommand {
        @Override
        void runCommand() {
            print(ClientKey.random(new SecureRandom()).reveal());
        }
    }

    /** Plan an intent from a JSON file. */
    @Command(name = "plan", description = "Plan an intent from a JSON file")
    public static final class Plan extends CtlCommand {
        @Arguments(title = "FILE", description = "The intent; - for standard input")
        @Required
        private String file;

        @Override
        void runCommand() {
            JsonNode plan = client().plan(readFile(file));
            if (json()) {
                printJson(plan);
            } else {
                print(PlanText.write(plan));
            }
        }
    }

    /** Carry out a plan from a JSON file. */
    @Command(name = "confirm", description = "Carry out a plan from a JSON file")
    public static final class Confirm extends CtlCommand {
        @Arguments(title = "FILE", description = "The plan as printed; - for standard input")
        @Required
        private String file;

        @Override
        void runCommand() {
            JsonNode read = readFile(file);
            JsonNode answer = client().confirm(read.has("plan") ? read.get("plan") : read);
            if (json()) {
                printJson(answer);
            } else {
                print("accepted as version " + answer.path("version").asLong());
            }
        }
    }

    /** A command that prints what it reads. */
    abstract static class ReadCommand extends CtlCommand {
        abstract String path();

        String text(JsonNode answer) {
            return null;
        }

        @Override
        void runCommand() {
            JsonNode answer = client().get(path());
            String text = json() ? null : text(answer);
            if (text == null) {
                printJson(answer);
            } else {
                print(text);
            }
        }
    }

    /** Show leases, groups, members and changes. */
    @Command(name = "status", description = "Show leases, groups, members and changes")
    public static final class Status extends ReadCommand {
        @Override
        String path() {
            return "/v1/status";
        }

        @Override
        String text(JsonNode answer) {
            return StatusText.write(answer);
        }
    }

    /** Show the configuration in force. */
    @Command(name = "configuration", description = "Show the configuration in force")
    public static final class ShowConfiguration extends ReadCommand {
        @Override
        String path() {
            return "/v1/configuration";
        }
    }

    /** Show who changed what and when. */
    @Command(name = "history", description = "Show who changed what and when")
    public static final class History extends ReadCommand {
        @Override
        String path() {
            return "/v1/history";
        }
    }

    /** Show the measures. */
    @Command(name = "report", description = "Show the measures")
    public static final class Report extends ReadCommand {
        @Override
        String path() {
            return "/v1/report";
        }
    }

    /** Options that describe a client account. */
    abstract static class AccountCommand extends IntentCommand {
        @Arguments(title = "ACCOUNT", description = "The client account")
        @Required
        private String account;

        @Option(
                name = {"--rate"},
                title = "N",
                description = "Requests a second over all proxies")
        private Double rate;

        @Option(
                name = {"--burst"},
                title = "N",
                description = "Requests that may come at once")
        private Integer burst;

        @Option(
                name = {"--databases"},
                title = "A,B",
                description = "Databases it may use")
        private String databases;

        @Option(
                name = {"--objective-ms"},
                title = "MS",
                description = "Answers within this time count as served well")
        private Integer objectiveMillis;

        ObjectNode describe(String kind) {
            ObjectNode intent = intent(kind).put("account", account);
            putNumber(intent, "rate_per_second", rate);
            putNumber(intent, "burst", burst);
            putList(intent, "databases", databases);
            putNumber(intent, "latency_objective_ms", objectiveMillis);
            return intent;
        }
    }

    /** Create a client account. */
    @Command(name = "create", description = "Create a client account")
    public static final class AccountCreate extends AccountCommand {
        @Override
        ObjectNode intent() {
            return describe("account-create");
        }
    }

    /** Change rate, burst, databases or objective. */
    @Command(name = "set", description = "Change rate, burst, databases or objective")
    public static final class AccountChange extends AccountCommand {
        @Override
        ObjectNode intent() {
            return describe("account-change");
        }
    }

    /** Remove a client account and its keys. */
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

    /** Create a key of a client account; it is shown once. */
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

    /** Withdraw a key. */
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

    /** Create a database and its announcement credential. */
    @Command(name = "create", description = "Create a database and its announcement credential")
    public static final class DatabaseCreate extends IntentCommand {
        @Arguments(title = "DATABASE", description = "The database")
        @Required
        private String database;

        @Option(
                name = {"--slots"},
                title = "N",
                description = "Groups it is split into")
        @Required
        private Integer slots;

        @Option(
                name = {"--endpoints"},
                title = "N",
                description = "Endpoints a group")
        private Integer endpoints = 3;

        @Option(
                name = {"--acknowledge"},
                title = "quorum|primary",
                description = "Who must hold a write before it is acknowledged")
        private String acknowledge;

        @Override
        ObjectNode intent() {
            ObjectNode intent = intent("database-create").put("database", database);
            putNumber(intent, "slots", slots);
            putNumber(intent, "endpoints_per_group", endpoints);
            putText(intent, "acknowledge", acknowledge);
            return intent;
        }
    }

    /** Change a database. */
    @Command(name = "set", description = "Change a database")
    public static final class DatabaseChange extends IntentCommand {
        @Arguments(title = "DATABASE", description = "The database")
        @Required
        private String database;

        @Option(
                name = {"--endpoints"},
                title = "N",
                description = "Endpoints a group")
        private Integer endpoints;

        @Option(
                name = {"--acknowledge"},
                title = "quorum|primary",
                description = "Who must hold a write before it is acknowledged")
        private String acknowledge;

        @Override
        ObjectNode intent() {
            ObjectNode intent = intent("database-change").put("database", database);
            putNumber(intent, "endpoints_per_group", endpoints);
            putText(intent, "acknowledge", acknowledge);
            return intent;
        }
    }

    /** Replace the announcement credential. */
    @Command(name = "replace-credential", description = "Replace the announcement credential")
    public static final class CredentialReplace extends IntentCommand {
        @Arguments(title = "DATABASE", description = "The database")
        @Required
        private String database;

        @Override
        ObjectNode intent() {
            return intent("credential-replace").put("database", database);
        }
    }

    /** Hand a group over to another primary. */
    @Command(name = "hand-over", description = "Hand a group over to another primary")
    public static final class HandOver extends IntentCommand {
        @Arguments(title = "GROUP", description = "The group, database.slot")
        @Required
        private String group;

        @Option(
                name = {"--to"},
                title = "ENDPOINT",
                description = "The new primary; otherwise a replica that has caught up")
        private String to;

        @Override
        ObjectNode intent() {
            ObjectNode intent = intent("hand-over").put("group", group);
            putText(intent, "to", to);
            return intent;
        }
    }

    /** Promote below the quorum; acknowledged writes may be lost. */
    @Command(
            name = "promote-with-loss",
            description = "Promote below the quorum; acknowledged writes may be lost")
    public static final class PromoteWithLoss extends IntentCommand {
        @Arguments(title = "GROUP", description = "The group, database.slot")
        @Required
        private String group;

        @Override
        ObjectNode intent() {
            return intent("promote-with-loss").put("group", group);
        }
    }

    /** Open a read to everybody. */
    @Command(name = "open", description = "Open a read to everybody")
    public static final class RouteOpen extends IntentCommand {
        @Arguments(title = "NAME", description = "The route's name in the path")
        @Required
        private String name;

        @Option(
                name = {"--database"},
                title = "DATABASE",
                description = "The database it reads")
        @Required
        private String database;

        @Option(
                name = {"--account"},
                title = "ACCOUNT",
                description = "The client account with whose rights it runs")
        @Required
        private String account;

        @Option(
                name = {"--sql"},
                title = "SQL",
                description = "The statement")
        @Required
        private String sql;

        @Option(
                name = {"--accepted-age-ms"},
                title = "MS",
                description = "How old the data may be")
        private Integer acceptedAgeMillis = 1000;

        @Override
        ObjectNode intent() {
            ObjectNode intent = intent("route-open").put("name", name);
            putText(intent, "database", database);
            putText(intent, "account", account);
            putText(intent, "sql", sql);
            putNumber(intent, "accepted_age_ms", acceptedAgeMillis);
            return intent;
        }
    }

    /** Close an open route. */
    @Command(name = "close", description = "Close an open route")
    public static final class RouteClose extends IntentCommand {
        @Arguments(title = "NAME", description = "The route's name")
        @Required
        private String name;

        @Override
        ObjectNode intent() {
            return intent("route-close").put("name", name);
        }
    }

    /** Create an operator or replace the operator's key. */
    @Command(name = "create", description = "Create an operator or replace the operator's key")
    public static final class OperatorCreate extends IntentCommand {
        @Arguments(title = "OPERATOR", description = "The operator's name")
        @Required
        private String operator;

        @Option(
                name = {"--role"},
                title = "read|change|all",
                description = "What the operator may do")
        private String role = "read";

        @Override
        ObjectNode intent() {
            return intent("operator-create").put("operator", operator).put("role", role);
        }
    }
}
