package org.chivevale.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Commands on routes: open ones, which run a read without a client key, and the regions of others.
 *
 * <p>Each is used by one thread.
 */
final class RouteCommands {
    private RouteCommands() {}

    /** Opens a route for a read without a key. */
    @Command(name = "open", description = "Open a route for a read without a key")
    public static final class RouteOpen extends IntentCommand {
        @Arguments(title = "NAME", description = "The route's name in the path")
        @Required
        private String name;

        @Option(
                name = {"--database"},
                title = "DATABASE",
                description = "The database to read")
        @Required
        private String database;

        @Option(
                name = {"--account"},
                title = "ACCOUNT",
                description = "The client account whose permissions the read has")
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
                description = "Maximum age of the data")
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

    /** Closes an open route. */
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

    /** Sets the regions in which the requests of a route may run. */
    @Command(name = "regions", description = "Set the regions that requests of a route may run in")
    public static final class RouteRegions extends IntentCommand {
        @Arguments(title = "ROUTE", description = "The route's name in the configuration")
        @Required
        private String route;

        @Option(
                name = {"--regions"},
                title = "A,B",
                description = "The regions; '' for every region")
        @Required
        private String regions;

        @Override
        ObjectNode intent() {
            ObjectNode intent = intent("route-regions").put("route", route);
            putRegions(intent, regions);
            return intent;
        }
    }
}
