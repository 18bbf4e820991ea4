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

    /** Names a database, and what may be changed of it. */
    abstract static class DatabaseCommand extends IntentCommand {
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

        ObjectNode describe(String kind, Integer usualEndpoints) {
            ObjectNode intent = intent(kind).put("database", database);
            Integer wanted = endpoints == null ? usualEndpoints : endpoints;
            putNumber(intent, "endpoints_per_group", wanted);
            putText(intent, "acknowledge", acknowledge);
            return intent;
        }
    }

    /** Create a database and its announcement credential. */
    @Command(name = "create", description = "Create a database and its announcement credential")
    public static final class DatabaseCreate extends DatabaseCommand {
        private static final int USUAL_ENDPOINTS = 3;

        @Option(
                name = {"--slots"},
                title = "N",
                description = "Groups it is split into")
        @Required
        private Integer slots;

        @Override
        ObjectNode intent() {
            ObjectNode intent = describe("database-create", USUAL_ENDPOINTS);
            putNumber(intent, "slots", slots);
            return intent;
        }
    }

    /** Change a database. */
    @Command(name = "set", description = "Change a database")
    public static final class DatabaseChange extends DatabaseCommand {
        @Override
        ObjectNode intent() {
            return describe("database-change", null);
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
}
