package org.chivevale.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Base of the commands: addresses of the control processes, operator key, output format.
 *
 * <p>Used by one thread.
 */
abstract class CtlCommand implements Runnable {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String KEY_VARIABLE = "CHIVEVALE_KEY";
    private static final String CONTROL_VARIABLE = "CHIVEVALE_CONTROL";

    @AirlineModule HelpOption<CtlCommand> help;

    @Option(
            name = {"--control"},
            title = "IP:PORT,...",
            description = "Control processes; default: environment variable CHIVEVALE_CONTROL")
    private String control;

    @Option(
            name = {"--key"},
            title = "KEY",
            description = "Operator's key; default: environment variable CHIVEVALE_KEY")
    private String key;

    @Option(
            name = {"--output"},
            title = "text|json",
            description = "Output format")
    private String output = "text";

    @Override
    public final void run() {
        if (help != null && help.showHelpIfRequested()) {
            return;
        }
        if (!output.equals("text") && !output.equals("json")) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, "--output must be text or json");
        }
        runCommand();
    }

    /** Runs the command; the options have been checked. */
    abstract void runCommand();

    AdminClient client() {
        String addresses = requireSetting(control, CONTROL_VARIABLE, "--control");
        return new AdminClient(
                List.of(addresses.split(",")), requireSetting(key, KEY_VARIABLE, "--key"));
    }

    private static String requireSetting(String option, String variable, String name) {
        String value = option != null ? option : System.getenv(variable);
        if (value == null || value.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, name + " or " + variable + " must be given");
        }
        return value;
    }

    boolean isJsonOutput() {
        return output.equals("json");
    }

    static ObjectNode intent(String kind) {
        return MAPPER.createObjectNode().put("kind", kind);
    }

    static void print(String text) {
        System.out.println(text);
    }

    static void printJson(JsonNode json) {
        try {
            print(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(json));
        } catch (JsonProcessingException e) {
            throw new ChivevaleException(ResultCode.INTERNAL, e.getMessage());
        }
    }
}
