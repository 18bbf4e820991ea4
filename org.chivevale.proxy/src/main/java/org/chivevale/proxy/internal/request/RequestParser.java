package org.chivevale.proxy.internal.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.Json;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.zip.CRC32C;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.request.RequestIds;
import org.chivevale.core.session.SessionToken;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.database.RequestRecord;
import org.chivevale.database.Statement;
import org.chivevale.proxy.ProxySettings;

/**
 * Parses and validates the bodies of callers' requests.
 *
 * <p>Invariant: a returned request is within all limits, and the client account has access to the
 * group. Used on the event loop.
 */
public final class RequestParser {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_ACCEPTED_AGE_MILLIS = 86_400_000;
    private static final Set<String> FIELDS =
            Set.of(
                    "slot",
                    "routing_key",
                    "statements",
                    "mode",
                    "session",
                    "accepted_age_ms",
                    "request_id",
                    "repeatable",
                    "deadline_ms");

    private final ProxySettings settings;
    private final Configuration configuration;

    /**
     * Creates a parser that applies the limits of the settings.
     *
     * @param settings the process's settings
     * @param configuration the databases and the client accounts
     */
    public RequestParser(ProxySettings settings, Configuration configuration) {
        this.settings = settings;
        this.configuration = configuration;
    }

    /**
     * Parses a body as a JSON object.
     *
     * @param body the bytes; empty stands for an empty object
     * @return the object
     * @throws ChivevaleException with MALFORMED_REQUEST when the body is no JSON object
     */
    public static JsonNode parseObject(Buffer body) {
        try {
            JsonNode json =
                    body.length() == 0
                            ? MAPPER.createObjectNode()
                            : MAPPER.readTree(body.getBytes());
            if (json != null && json.isObject()) {
                return json;
            }
        } catch (IOException e) {
            throw malformed("the body is not valid JSON");
        }
        throw malformed("the body must be a JSON object");
    }

    private static ChivevaleException malformed(String message) {
        return new ChivevaleException(ResultCode.MALFORMED_REQUEST, message);
    }

    /**
     * Parses a request for a database.
     *
     * @param account the client account that the request's key belongs to
     * @param database the database's name
     * @param json the body
     * @param nowNanos the current monotonic time
     * @param nowUnixMillis the current wall-clock time
     * @return the validated request
     */
    public CallerRequest parseRequest(
            ClientAccountId account,
            String database,
            JsonNode json,
            long nowNanos,
            long nowUnixMillis) {
        rejectUnknownFields(json);
        GroupId group = resolveGroup(account, database, json);
        List<Statement> statements = parseStatements(json.path("statements"));
        StatementKind kind = resolveKind(statements, json.path("mode").asText(""));
        boolean repeatable = json.path("repeatable").asBoolean(kind != StatementKind.WRITE);
        String requestId = json.path("request_id").asText("");
        if (!repeatable && requestId.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.REQUEST_ID_MISSING,
                    "a request that is not repeatable requires a request_id");
        }
        RequestRecord record =
                kind == StatementKind.WRITE && !requestId.isEmpty()
                        ? createRequestRecord(requestId, group, statements, nowUnixMillis)
                        : null;
        return new CallerRequest(
                account,
                group,
                kind,
                statements,
                parseSession(account, json),
                parseLong(
                        json,
                        "accepted_age_ms",
                        CallerRequest.NO_ACCEPTED_AGE,
                        0,
                        MAX_ACCEPTED_AGE_MILLIS),
                record,
                repeatable,
                parseDeadlineNanos(json, nowNanos));
    }

    private static void rejectUnknownFields(JsonNode json) {
        Iterator<String> names = json.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!FIELDS.contains(name)) {
                throw malformed("unknown field '" + name + "'");
            }
        }
    }

    /**
     * Resolves the group that a request addresses.
     *
     * @param accountId the client account
     * @param databaseName the database's name
     * @param json the body, with a slot or a routing key
     * @return the group, to which the client account has access
     * @throws ChivevaleException with DATABASE_UNKNOWN or SLOT_UNKNOWN
     */
    public GroupId resolveGroup(ClientAccountId accountId, String databaseName, JsonNode json) {
        Account account = configuration.account(accountId);
        Database database = configuration.database(databaseName);
        boolean hasAccess =
                account != null && database != null && account.databases().contains(databaseName);
        if (!hasAccess) {
            throw new ChivevaleException(
                    ResultCode.DATABASE_UNKNOWN, "unknown database '" + databaseName + "'");
        }
        return new GroupId(databaseName, resolveSlot(database, json));
    }

    private static int resolveSlot(Database database, JsonNode json) {
        if (json.hasNonNull("routing_key")) {
            CRC32C hash = new CRC32C();
            hash.update(json.get("routing_key").asText().getBytes(StandardCharsets.UTF_8));
            return (int) (hash.getValue() % database.slots());
        }
        if (!json.hasNonNull("slot") && database.slots() == 1) {
            return 0;
        }
        JsonNode slot = json.path("slot");
        if (!slot.canConvertToInt() || slot.asInt() < 0 || slot.asInt() >= database.slots()) {
            throw new ChivevaleException(
                    ResultCode.SLOT_UNKNOWN,
                    "field 'slot' must be an integer from 0 to "
                            + (database.slots() - 1)
                            + ", or field 'routing_key' a string");
        }
        return slot.asInt();
    }

    private List<Statement> parseStatements(JsonNode list) {
        if (!list.isArray() || list.isEmpty()) {
            throw malformed("field 'statements' must be a non-empty array");
        }
        if (list.size() > settings.limits().statements()) {
            throw new ChivevaleException(
                    ResultCode.TOO_MANY_STATEMENTS,
                    "at most " + settings.limits().statements() + " statements per request");
        }
        List<Statement> statements = new ArrayList<>();
        for (JsonNode item : list) {
            statements.add(parseStatement(item));
        }
        return statements;
    }

    /**
     * Parses one statement.
     *
     * @param json an object with {@code sql} and {@code parameters}
     * @return the statement, within the size limit
     */
    public Statement parseStatement(JsonNode json) {
        JsonNode sql = json.path("sql");
        if (!sql.isTextual()) {
            throw malformed("field 'sql' must be a string");
        }
        int bytes = sql.asText().length();
        List<Object> parameters = new ArrayList<>();
        for (JsonNode parameter : json.path("parameters")) {
            bytes += parameter.isTextual() ? parameter.asText().length() : Long.BYTES;
            parameters.add(parseParameter(parameter));
        }
        if (bytes > settings.limits().statementBytes()) {
            throw new ChivevaleException(
                    ResultCode.STATEMENT_TOO_LARGE,
                    "a statement with its parameters may have at most "
                            + settings.limits().statementBytes()
                            + " bytes");
        }
        return new Statement(sql.asText(), parameters);
    }

    private static Object parseParameter(JsonNode json) {
        switch (json.getNodeType()) {
            case NULL -> {
                return null;
            }
            case BOOLEAN -> {
                return json.asBoolean();
            }
            case STRING -> {
                return json.asText();
            }
            case NUMBER -> {
                if (json.isIntegralNumber() && json.canConvertToLong()) {
                    return json.asLong();
                }
                return json.asDouble();
            }
            default -> {
                return parseTypedParameter(json);
            }
        }
    }

    private static Object parseTypedParameter(JsonNode json) {
        String type = json.path("type").asText("");
        String value = json.path("value").asText("");
        try {
            return switch (type) {
                case "uuid" -> UUID.fromString(value);
                case "timestamptz" -> OffsetDateTime.parse(value);
                case "timestamp" -> LocalDateTime.parse(value);
                case "date" -> LocalDate.parse(value);
                case "time" -> LocalTime.parse(value);
                case "numeric" -> new BigDecimal(value);
                case "bytes" -> Buffer.buffer(Base64.getDecoder().decode(value));
                case "json" -> Json.decodeValue(value);
                default ->
                        throw new ChivevaleException(
                                ResultCode.PARAMETER_INVALID,
                                "unknown parameter type '" + type + "'");
            };
        } catch (DateTimeException | IllegalArgumentException e) {
            throw new ChivevaleException(
                    ResultCode.PARAMETER_INVALID, "'" + value + "' is not a valid " + type);
        }
    }

    private static StatementKind resolveKind(List<Statement> statements, String mode) {
        StatementKind strongest = StatementKind.READ;
        for (Statement statement : statements) {
            StatementKind kind = StatementKindCache.kindOf(statement.sql());
            if (kind == StatementKind.SCHEMA && statements.size() > 1) {
                throw new ChivevaleException(
                        ResultCode.STATEMENT_FORBIDDEN,
                        "a schema change must be the only statement of its request");
            }
            if (kind.compareTo(strongest) > 0) {
                strongest = kind;
            }
        }
        return switch (mode) {
            case "" -> strongest;
            case "write" -> strongest == StatementKind.READ ? StatementKind.WRITE : strongest;
            case "read" -> {
                if (strongest != StatementKind.READ) {
                    throw malformed("mode read accepts only statements that read");
                }
                yield strongest;
            }
            default -> throw malformed("field 'mode' must be read or write");
        };
    }

    private SessionToken parseSession(ClientAccountId account, JsonNode json) {
        String text = json.path("session").asText("");
        if (text.isEmpty()) {
            return null;
        }
        return configuration.sessionTokens().decode(account, text);
    }

    private static RequestRecord createRequestRecord(
            String requestId, GroupId group, List<Statement> statements, long nowUnixMillis) {
        long createdUnixMillis = RequestIds.createdUnixMillis(requestId, nowUnixMillis);
        return new RequestRecord(requestId, hashBody(group, statements), createdUnixMillis);
    }

    private static String hashBody(GroupId group, List<Statement> statements) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(group.toString().getBytes(StandardCharsets.UTF_8));
            for (Statement statement : statements) {
                updateWithLength(digest, statement.sql());
                for (Object parameter : statement.parameters()) {
                    String type = parameter == null ? "" : parameter.getClass().getSimpleName();
                    updateWithLength(digest, type + ":" + parameter);
                }
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void updateWithLength(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update((byte) (bytes.length >>> 24));
        digest.update((byte) (bytes.length >>> 16));
        digest.update((byte) (bytes.length >>> 8));
        digest.update((byte) bytes.length);
        digest.update(bytes);
    }

    /**
     * Parses the deadline.
     *
     * @param json the body
     * @param nowNanos the current monotonic time
     * @return the monotonic time by which the caller expects a response
     */
    public long parseDeadlineNanos(JsonNode json, long nowNanos) {
        ProxySettings.Timing timing = settings.timing();
        long millis =
                parseLong(
                        json,
                        "deadline_ms",
                        timing.defaultDeadlineMillis(),
                        1,
                        timing.maxDeadlineMillis());
        return nowNanos + millis * NANOS_PER_MILLI;
    }

    private static long parseLong(
            JsonNode json, String name, long defaultValue, long min, long max) {
        JsonNode value = json.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        boolean isValid =
                value.isIntegralNumber()
                        && value.canConvertToLong()
                        && value.asLong() >= min
                        && value.asLong() <= max;
        if (!isValid) {
            throw malformed("field '" + name + "' must be an integer from " + min + " to " + max);
        }
        return value.asLong();
    }
}
