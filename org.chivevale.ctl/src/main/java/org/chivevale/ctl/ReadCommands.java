package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;

/**
 * Commands that print what control knows.
 *
 * <p>Each is used by one thread.
 */
final class ReadCommands {
    private ReadCommands() {}

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
}
