package org.chivevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats plans as text for operators.
 *
 * <p>Stateless and thread safe.
 */
public final class PlanText {
    private PlanText() {}

    /**
     * Formats a plan.
     *
     * @param plan the plan as the administration API returned it
     * @return several lines, without a line break at the end
     */
    public static String write(JsonNode plan) {
        StringBuilder text = new StringBuilder();
        text.append("plan ").append(plan.path("plan_id").asText());
        text.append(" on version ").append(plan.path("base_version").asLong()).append('\n');
        for (JsonNode change : plan.path("changes")) {
            text.append("  ").append(change.asText()).append('\n');
        }
        for (JsonNode touched : plan.path("touches")) {
            text.append("  touches ").append(touched.asText()).append('\n');
        }
        if (plan.hasNonNull("secret")) {
            text.append("  secret, shown only now: ").append(plan.get("secret").asText());
            text.append('\n');
        }
        return text.substring(0, text.length() - 1);
    }
}
