package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Option;

/**
 * A command that plans an intent: it prints the plan, and applies it with {@code --confirm}.
 *
 * <p>Used by one thread.
 */
abstract class IntentCommand extends CtlCommand {
    @Option(
            name = {"--confirm"},
            description = "Confirm and apply the plan at once")
    private boolean confirm;

    /** Builds the intent from the options. */
    abstract ObjectNode intent();

    @Override
    void runCommand() {
        AdminClient client = client();
        JsonNode plan = client.plan(intent());
        JsonNode response = confirm ? client.confirm(plan) : null;
        if (isJsonOutput()) {
            ObjectNode both = MAPPER.createObjectNode();
            both.set("plan", plan);
            both.set("answer", response);
            printJson(both);
            return;
        }
        print(PlanText.write(plan));
        if (response == null) {
            print("nothing changed; save the plan with --output json and 'confirm' it");
        } else {
            print("accepted as version " + response.path("version").asLong());
        }
    }

    static void putNumber(ObjectNode intent, String name, Number value) {
        if (value instanceof Integer integer) {
            intent.put(name, integer);
        } else if (value != null) {
            intent.put(name, value.doubleValue());
        }
    }

    static void putText(ObjectNode intent, String name, String value) {
        if (value != null) {
            intent.put(name, value);
        }
    }

    static void putList(ObjectNode intent, String name, String commaSeparated) {
        if (commaSeparated == null) {
            return;
        }
        for (String item : commaSeparated.split(",")) {
            if (!item.isEmpty()) {
                intent.withArray(name).add(item);
            }
        }
    }

    /** Puts a list of regions; an empty text gives an empty list, which permits every region. */
    static void putRegions(ObjectNode intent, String commaSeparated) {
        if (commaSeparated != null) {
            intent.putArray("allowed_regions");
            putList(intent, "allowed_regions", commaSeparated);
        }
    }
}
