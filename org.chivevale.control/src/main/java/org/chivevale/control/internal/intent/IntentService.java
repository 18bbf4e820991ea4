package org.chivevale.control.internal.intent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import org.chivevale.control.internal.log.ChangedObjects;
import org.chivevale.control.internal.log.ControlState;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Operator;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.PlanStored;

/**
 * Plans intents and carries out confirmed plans.
 *
 * <p>A plan is handed to the operator whole and is not kept, so any leader can carry it out.
 * Invariants: a plan changes nothing; a plan is carried out once, and confirming it again gets the
 * first answer; a plan is refused when an object it touches was changed after it was made. Used on
 * the event loop.
 */
public final class IntentService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "intents";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> WITH_SECRET =
            Set.of("key-create", "database-create", "credential-replace", "operator-create");
    private static final Set<String> FOR_ALL_ROLE = Set.of("operator-create", "promote-with-loss");

    private final SecureRandom random = new SecureRandom();
    private LogService log;
    private ControlState state;

    @Override
    public void start(Kernel kernel) {
        log = kernel.find(LogService.NAME, LogService.class);
        state = log.state();
    }

    /**
     * Plans an intent.
     *
     * @param operator who wants it
     * @param intentJson the intent
     * @return the plan, with any new secret, which is shown only here
     */
    public ObjectNode plan(Operator operator, JsonNode intentJson) {
        Intent given = new Intent(intentJson.deepCopy());
        requireRole(operator, given.kind());
        ObjectNode plan = MAPPER.createObjectNode();
        if (WITH_SECRET.contains(given.kind())) {
            refuseGivenSecret(given);
            ClientKey key = ClientKey.random(random);
            given.json().put("key_id", key.id());
            given.json().put("key_hash", HexFormat.of().formatHex(key.hash()));
            plan.put("secret", key.reveal());
        }
        PlannedChanges planned = new IntentPlanner(state.configuration()).plan(given);
        plan.put("plan_id", UUID.randomUUID().toString());
        plan.put("base_version", state.configuration().version());
        plan.set("intent", given.json());
        planned.descriptions().forEach(plan.putArray("changes")::add);
        planned.touches().forEach(plan.putArray("touches")::add);
        return plan;
    }

    private static void refuseGivenSecret(Intent given) {
        if (given.has("key_id") || given.has("key_hash")) {
            throw Intent.invalid("keys are made by the system; leave key_id and key_hash out");
        }
    }

    private static void requireRole(Operator operator, String kind) {
        Operator.Role needed =
                FOR_ALL_ROLE.contains(kind) ? Operator.Role.ALL : Operator.Role.CHANGE;
        if (operator.role().compareTo(needed) < 0) {
            throw new ChivevaleException(
                    ResultCode.ROLE_INSUFFICIENT,
                    "operator " + operator.id() + " may not plan " + kind);
        }
    }

    /**
     * Carries out a plan.
     *
     * @param operator who confirms it
     * @param planJson the plan as it was handed out
     * @return the answer
     */
    public Future<JsonNode> confirm(Operator operator, JsonNode planJson) {
        String planId = requirePlanId(planJson);
        Intent intent = new Intent(planJson.path("intent"));
        requireRole(operator, intent.kind());
        long baseVersion = planJson.path("base_version").asLong(-1);
        if (baseVersion < 0) {
            throw Intent.invalid("field 'base_version' must be a whole number");
        }
        return log.propose(
                        operator.id(),
                        planId,
                        now -> changes(now, operator, planId, baseVersion, intent))
                .map(ignored -> firstAnswer(planId, intent));
    }

    private static String requirePlanId(JsonNode planJson) {
        try {
            return UUID.fromString(planJson.path("plan_id").asText()).toString();
        } catch (IllegalArgumentException e) {
            throw new ChivevaleException(
                    ResultCode.PLAN_UNKNOWN, "field 'plan_id' is not the id of a plan");
        }
    }

    private List<Change> changes(
            Configuration now, Operator operator, String planId, long baseVersion, Intent intent) {
        if (now.plan(planId) != null) {
            return List.of();
        }
        if (baseVersion > now.version()) {
            throw new ChivevaleException(
                    ResultCode.VERSION_CONFLICT, "there is no version " + baseVersion + " yet");
        }
        refuseOutdated(now, baseVersion, intent);
        PlannedChanges planned = new IntentPlanner(now).plan(intent);
        ObjectNode answer = MAPPER.createObjectNode();
        answer.put("plan_id", planId);
        answer.put("version", now.version() + 1);
        answer.put("operator", operator.id());
        planned.descriptions().forEach(answer.putArray("changes")::add);
        List<Change> changes = new ArrayList<>(planned.changes());
        changes.add(
                Change.newBuilder()
                        .setPlanStored(
                                PlanStored.newBuilder()
                                        .setPlanId(planId)
                                        .setIntentJson(intent.json().toString())
                                        .setAnswerJson(answer.toString()))
                        .build());
        return changes;
    }

    private void refuseOutdated(Configuration now, long baseVersion, Intent intent) {
        String touched = IntentPlanner.touches(intent);
        List<String> since = state.changesSince(baseVersion, touched);
        if (since == null) {
            throw new ChivevaleException(
                    ResultCode.VERSION_CONFLICT,
                    "version "
                            + baseVersion
                            + " is too long ago; the version in force is "
                            + now.version());
        }
        if (!since.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.VERSION_CONFLICT,
                    touched
                            + " changed after version "
                            + baseVersion
                            + ": "
                            + String.join("; ", since));
        }
    }

    private JsonNode firstAnswer(String planId, Intent intent) {
        PlanStored stored = state.configuration().plan(planId);
        if (!stored.getIntentJson().equals(intent.json().toString())) {
            throw new ChivevaleException(
                    ResultCode.VERSION_CONFLICT,
                    "plan " + planId + " was confirmed with another intent");
        }
        try {
            return MAPPER.readTree(stored.getAnswerJson());
        } catch (JsonProcessingException e) {
            throw new ChivevaleException(ResultCode.INTERNAL, "plan " + planId + ": " + e);
        }
    }

    /**
     * Lists the newest versions with their changes.
     *
     * @return one object a version, oldest first
     */
    public ArrayNode history() {
        ArrayNode history = MAPPER.createArrayNode();
        state.history()
                .forEach(
                        entry -> {
                            ObjectNode one = history.addObject();
                            one.put("version", entry.getVersion());
                            one.put("accepted_unix_ms", entry.getAcceptedUnixMillis());
                            one.put("operator", entry.getOperatorId());
                            one.put("plan_id", entry.getPlanId());
                            ArrayNode objects = one.putArray("touches");
                            ChangedObjects.of(entry).forEach(objects::add);
                        });
        return history;
    }
}
