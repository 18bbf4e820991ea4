package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Commands that plan and confirm intents from files, and the command that generates a key.
 *
 * <p>Each is used by one thread.
 */
final class PlanCommands {
    private PlanCommands() {}

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

    /** Generates a random key. */
    @Command(name = "new-key", description = "Generate a random key, such as the first operator's")
    public static final class NewKey extends CtlCommand {
        @Override
        void runCommand() {
            print(ClientKey.random(new SecureRandom()).reveal());
        }
    }

    /** Plans an intent from a JSON file. */
    @Command(name = "plan", description = "Plan an intent from a JSON file")
    public static final class Plan extends CtlCommand {
        @Arguments(title = "FILE", description = "JSON file with the intent; - for standard input")
        @Required
        private String file;

        @Override
        void runCommand() {
            JsonNode plan = client().plan(readFile(file));
            if (isJsonOutput()) {
                printJson(plan);
            } else {
                print(PlanText.write(plan));
            }
        }
    }

    /** Confirms a plan from a JSON file. */
    @Command(name = "confirm", description = "Confirm and apply a plan from a JSON file")
    public static final class Confirm extends CtlCommand {
        @Arguments(
                title = "FILE",
                description = "The plan as printed with --output json; - for standard input")
        @Required
        private String file;

        @Override
        void runCommand() {
            JsonNode read = readFile(file);
            JsonNode response = client().confirm(read.has("plan") ? read.get("plan") : read);
            if (isJsonOutput()) {
                printJson(response);
            } else {
                print("accepted as version " + response.path("version").asLong());
            }
        }
    }
}
