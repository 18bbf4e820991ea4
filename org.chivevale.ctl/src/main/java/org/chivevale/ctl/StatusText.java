package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/**
 * Formats the status as text for operators.
 *
 * <p>Stateless and thread safe.
 */
public final class StatusText {
    private static final int CHANGES_SHOWN = 10;

    private StatusText() {}

    /**
     * Formats a status.
     *
     * @param status the response of {@code /v1/status}
     * @return several lines, without a line break at the end
     */
    public static String write(JsonNode status) {
        StringBuilder text = new StringBuilder();
        text.append("version ").append(status.path("version").asLong());
        text.append(", leader ").append(status.path("leader").asText()).append('\n');
        for (JsonNode proxy : status.path("proxies")) {
            text.append(
                    String.format(
                            "proxy %s in %s, version %d%n",
                            proxy.path("id").asText(),
                            proxy.path("data_center").asText(),
                            proxy.path("version").asLong()));
        }
        for (JsonNode group : status.path("groups")) {
            writeGroup(text, group);
        }
        for (JsonNode evacuation : status.path("evacuations")) {
            writeEvacuation(text, evacuation);
        }
        JsonNode changes = status.path("changes");
        for (int i = Math.max(0, changes.size() - CHANGES_SHOWN); i < changes.size(); i++) {
            writeChange(text, changes.get(i));
        }
        return text.toString().stripTrailing();
    }

    private static void writeGroup(StringBuilder text, JsonNode group) {
        String primary = group.path("primary").asText();
        text.append("group ").append(group.path("group").asText());
        text.append(" term ").append(group.path("term").asLong());
        text.append(", primary ").append(primary.isEmpty() ? "none" : primary);
        if (!group.path("replacement").asText().isEmpty()) {
            text.append(", ").append(group.path("replacement").asText());
            text.append(" (").append(group.path("reason").asText()).append(')');
        }
        if (!group.path("blocked").asText().isEmpty()) {
            text.append(", blocked: ").append(group.path("blocked").asText());
        }
        text.append('\n');
        for (JsonNode member : group.path("members")) {
            text.append("  ").append(member.path("endpoint").asText());
            text.append(member.path("primary").asBoolean() ? " primary" : " replica");
            text.append(" term ").append(member.path("term").asLong());
            text.append(" in ").append(member.path("data_center").asText());
            text.append(member.path("leaving").asBoolean() ? ", leaving" : "");
            text.append(member.path("announced").asBoolean() ? "" : ", not announced");
            text.append('\n');
        }
    }

    /**
     * Formats the evacuations alone.
     *
     * @param status the response of {@code /v1/status}
     * @return one line for each, without a line break at the end
     */
    public static String writeEvacuations(JsonNode status) {
        StringBuilder text = new StringBuilder();
        for (JsonNode evacuation : status.path("evacuations")) {
            writeEvacuation(text, evacuation);
        }
        return text.isEmpty() ? "no data centre is evacuated" : text.toString().stripTrailing();
    }

    private static void writeEvacuation(StringBuilder text, JsonNode evacuation) {
        long inForce = evacuation.path("in_force_unix_ms").asLong();
        text.append("data centre ").append(evacuation.path("data_center").asText());
        text.append(" evacuated by ").append(evacuation.path("operator").asText());
        text.append(" at ")
                .append(Instant.ofEpochMilli(evacuation.path("requested_unix_ms").asLong()));
        text.append(", in force on ").append(evacuation.path("proxies_in_force").asLong());
        text.append(" of ").append(evacuation.path("proxies").asLong()).append(" proxies");
        if (inForce > 0) {
            text.append(", everywhere since ").append(Instant.ofEpochMilli(inForce));
        }
        text.append('\n');
    }

    private static void writeChange(StringBuilder text, JsonNode change) {
        long accepted = change.path("accepted_unix_ms").asLong();
        long inForce = change.path("in_force_unix_ms").asLong();
        text.append("version ").append(change.path("version").asLong());
        text.append(" by ").append(change.path("operator").asText());
        if (inForce > 0) {
            text.append(", in force everywhere after ").append(inForce - accepted).append(" ms\n");
            return;
        }
        text.append(", not acknowledged by ").append(change.path("not_acknowledged")).append('\n');
    }
}
