package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Commands that evacuate and restore data centres.
 *
 * <p>Each is used by one thread.
 */
final class DataCenterCommands {
    private DataCenterCommands() {}

    /** Orders that no new work goes to the endpoints of a data centre. */
    @Command(name = "evacuate", description = "Send no new work to a data centre's endpoints")
    public static final class Evacuate extends IntentCommand {
        @Arguments(title = "NAME", description = "The data centre")
        @Required
        private String name;

        @Override
        ObjectNode intent() {
            return intent("datacenter-evacuate").put("data_center", name);
        }
    }

    /** Withdraws the order. */
    @Command(name = "restore", description = "End the evacuation of a data centre")
    public static final class Restore extends IntentCommand {
        @Arguments(title = "NAME", description = "The data centre")
        @Required
        private String name;

        @Override
        ObjectNode intent() {
            return intent("datacenter-restore").put("data_center", name);
        }
    }

    /** Shows the evacuations and how many proxies follow them. */
    @Command(
            name = "status",
            description = "Show the evacuations and on how many proxies they hold")
    public static final class EvacuationStatus extends ReadCommands.ReadCommand {
        @Override
        String path() {
            return "/v1/status";
        }

        @Override
        String text(JsonNode response) {
            return StatusText.writeEvacuations(response);
        }
    }
}
