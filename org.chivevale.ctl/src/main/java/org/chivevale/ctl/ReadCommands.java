package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;

/**
 * Commands that read from the administration API and print the response.
 *
 * <p>Each is used by one thread.
 */
final class ReadCommands {
    private ReadCommands() {}

    /** A command that prints the response to one GET request. */
    abstract static class ReadCommand extends CtlCommand {
        abstract String path();

        String text(JsonNode response) {
            return null;
        }

        @Override
        void runCommand() {
            JsonNode response = client().get(path());
            String text = isJsonOutput() ? null : text(response);
            if (text == null) {
                printJson(response);
            } else {
                print(text);
            }
        }
    }

    /** Shows leases, groups, members and changes. */
    @Command(name = "status", description = "Show leases, groups, members and changes")
    public static final class Status extends ReadCommand {
        @Override
        String path() {
            return "/v1/status";
        }

        @Override
        String text(JsonNode response) {
            return StatusText.write(response);
        }
    }

    /** Shows the configuration in force. */
    @Command(name = "configuration", description = "Show the configuration in force")
    public static final class ShowConfiguration extends ReadCommand {
        @Override
        String path() {
            return "/v1/configuration";
        }
    }

    /** Shows the change history. */
    @Command(name = "history", description = "Show who changed what and when")
    public static final class History extends ReadCommand {
        @Override
        String path() {
            return "/v1/history";
        }
    }

    /** Shows the service measurements. */
    @Command(name = "report", description = "Show the service measurements")
    public static final class Report extends ReadCommand {
        @Override
        String path() {
            return "/v1/report";
        }
    }
}
