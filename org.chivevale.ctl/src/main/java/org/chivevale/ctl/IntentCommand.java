package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Option;

/**
 * A command that states an intent: it prints the plan, and carries it out with {@code --confirm}.
 *
 * <p>Used by one thread.
 */
abstract class IntentCommand extends CtlCommand {
    @Option(
            name = {"--confirm"},
            description = "Carry the plan out at once")
    private boolean confirm;

    /** Returns the intent. */
    abstract ObjectNode intent();

    @Override
    void runCommand() {
        AdminClient client = client();
        JsonNode plan = client.plan(intent());
        JsonNode answer = confirm ? client.confirm(plan) : null;
        if (json()) {
            ObjectNode both = MAPPER.createObjectNode();
            both.set("plan", plan);
            both.set("answer", answer);
            printJson(both);
            return;
        }
        print(PlanText.write(plan));
        if (answer == null) {
            print("nothing changed; save the plan with --output json and 'confirm' it");
        } else {
            print("accepted as version " + answer.path("version").asLong());
        }
    }
}
