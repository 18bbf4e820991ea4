package org.chivevale.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Commands on databases, their credentials and the primaries of their groups.
 *
 * <p>Each is used by one thread.
 */
final class DatabaseCommands {
    private DatabaseCommands() {}

    /** Options that describe a database. */
    abstract static class DatabaseCommand extends IntentCommand {
        @Arguments(title = "DATABASE", description = "The database")
        @Required
        private String database;

        @Option(
                name = {"--endpoints"},
                title = "N",
                description = "Endpoints per group")
        private Integer endpoints;

        @Option(
                name = {"--acknowledge"},
                title = "quorum|primary",
                description = "Which endpoints must have a write before it is acknowledged")
        private String acknowledge;

        @Option(
                name = {"--warmup-rate"},
                title = "N",
                description = "Requests per second to a cold endpoint; 0 for no limit")
        private Double warmupPerSecond;

        ObjectNode buildIntent(String kind, Integer defaultEndpoints) {
            ObjectNode intent = intent(kind).put("database", database);
            Integer wanted = endpoints == null ? defaultEndpoints : endpoints;
            putNumber(intent, "endpoints_per_group", wanted);
            putText(intent, "acknowledge", acknowledge);
            putNumber(intent, "warmup_per_second", warmupPerSecond);
            return intent;
        }
    }

    /** Creates a database and its announcement credential. */
    @Command(name = "create", description = "Create a database and its announcement credential")
    public static final class DatabaseCreate extends DatabaseCommand {
        private static final int DEFAULT_ENDPOINTS = 3;

        @Option(
                name = {"--slots"},
                title = "N",
                description = "Number of groups that the database is split into")
        @Required
        private Integer slots;

        @Override
        ObjectNode intent() {
            ObjectNode intent = buildIntent("database-create", DEFAULT_ENDPOINTS);
            putNumber(intent, "slots", slots);
            return intent;
        }
    }

    /** Changes a database. */
    @Command(name = "set", description = "Change a database")
    public static final class DatabaseChange extends DatabaseCommand {
        @Override
        ObjectNode intent() {
            return buildIntent("database-change", null);
        }
    }

    /** Replaces the announcement credential of a database. */
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

    /** Switches a group over to another primary. */
    @Command(name = "hand-over", description = "Switch a group over to another primary")
    public static final class Switchover extends IntentCommand {
        @Arguments(title = "GROUP", description = "The group, as DATABASE.SLOT")
        @Required
        private String group;

        @Option(
                name = {"--to"},
                title = "ENDPOINT",
                description = "The new primary; default: a replica that has caught up")
        private String to;

        @Override
        ObjectNode intent() {
            ObjectNode intent = intent("hand-over").put("group", group);
            putText(intent, "to", to);
            return intent;
        }
    }

    /** Promotes a replica without a quorum; acknowledged writes may be lost. */
    @Command(
            name = "promote-with-loss",
            description = "Promote a replica without a quorum; acknowledged writes may be lost")
    public static final class PromoteWithLoss extends IntentCommand {
        @Arguments(title = "GROUP", description = "The group, as DATABASE.SLOT")
        @Required
        private String group;

        @Override
        ObjectNode intent() {
            return intent("promote-with-loss").put("group", group);
        }
    }
}
