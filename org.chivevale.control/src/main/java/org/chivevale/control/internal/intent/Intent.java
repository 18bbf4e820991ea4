package org.chivevale.control.internal.intent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * An operator's intent, with accessors that validate its fields.
 *
 * <p>Not thread safe.
 */
final class Intent {
    private final ObjectNode fields;

    Intent(JsonNode json) {
        if (!(json instanceof ObjectNode object)) {
            throw invalid("the intent must be a JSON object");
        }
        this.fields = object;
    }

    static ChivevaleException invalid(String message) {
        return new ChivevaleException(ResultCode.INTENT_INVALID, message);
    }

    ObjectNode json() {
        return fields;
    }

    String kind() {
        return text("kind");
    }

    /** Rejects fields that the kind does not have, so that a misspelt one is not ignored. */
    void rejectUnknownFields(Set<String> names) {
        Iterator<String> given = fields.fieldNames();
        while (given.hasNext()) {
            String name = given.next();
            if (!names.contains(name) && !name.equals("kind")) {
                throw invalid("intent " + kind() + " has no field '" + name + "'");
            }
        }
    }

    boolean has(String name) {
        return fields.hasNonNull(name);
    }

    String text(String name) {
        JsonNode value = fields.get(name);
        if (value == null || !value.isTextual() || value.asText().isEmpty()) {
            throw invalid("field '" + name + "' must be a non-empty text");
        }
        return value.asText();
    }

    String text(String name, String fallback) {
        return has(name) ? text(name) : fallback;
    }

    int number(String name, int min, int max) {
        JsonNode value = fields.get(name);
        boolean fits =
                value != null
                        && value.isIntegralNumber()
                        && value.canConvertToInt()
                        && value.asInt() >= min
                        && value.asInt() <= max;
        if (!fits) {
            throw invalid("field '" + name + "' must be a whole number, " + min + " to " + max);
        }
        return value.asInt();
    }

    int number(String name, int fallback, int min, int max) {
        return has(name) ? number(name, min, max) : fallback;
    }

    double decimal(String name, double min, double max) {
        JsonNode value = fields.get(name);
        boolean fits =
                value != null
                        && value.isNumber()
                        && value.asDouble() >= min
                        && value.asDouble() <= max;
        if (!fits) {
            throw invalid("field '" + name + "' must be a number, " + min + " to " + max);
        }
        return value.asDouble();
    }

    double decimal(String name, double fallback, double min, double max) {
        return has(name) ? decimal(name, min, max) : fallback;
    }

    List<String> texts(String name) {
        JsonNode value = fields.get(name);
        List<String> texts = new ArrayList<>();
        if (value == null || !value.isArray()) {
            throw invalid("field '" + name + "' must be a list of texts");
        }
        for (JsonNode item : value) {
            if (!item.isTextual()) {
                throw invalid("field '" + name + "' must be a list of texts");
            }
            texts.add(item.asText());
        }
        return texts;
    }

    /** Returns the regions in field {@code allowed_regions}, or the fallback without the field. */
    AllowedRegions regions(AllowedRegions fallback) {
        return fields.has("allowed_regions") ? AllowedRegions.of(regionNames()) : fallback;
    }

    /** Returns the names in field {@code allowed_regions}; none for every region. */
    List<String> regionNames() {
        List<String> names = texts("allowed_regions");
        if (names.contains("")) {
            throw invalid("field 'allowed_regions' must be a list of non-empty texts");
        }
        return names;
    }
}
