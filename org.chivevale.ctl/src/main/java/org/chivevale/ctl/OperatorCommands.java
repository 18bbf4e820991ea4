package org.chivevale.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Commands on operators.
 *
 * <p>Each is used by one thread.
 */
final class OperatorCommands {
    private OperatorCommands() {}

    /** Creates an operator or replaces the operator's key. */
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
