package org.chivevale.control.internal.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.fleet.Membership;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.core.util.Checks;

/**
 * Parses and validates the announcements of endpoints.
 *
 * <p>Invariant: an announcement is accepted as a whole or not at all, and only if its credential is
 * that of every database in it. Used on the event loop.
 */
final class AnnouncementReader {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MIN_TTL_MILLIS = 100;
    private static final int MAX_TTL_MILLIS = 600_000;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int MAX_NAME_CHARS = 64;

    private final Configuration configuration;
    private final Membership membership;

    AnnouncementReader(Configuration configuration, Membership membership) {
        this.configuration = configuration;
        this.membership = membership;
    }

    void acceptAnnouncement(String credential, JsonNode body, long nowNanos) {
        EndpointId endpoint = new EndpointId(Checks.name("endpoint", text(body, "endpoint")));
        int timeToLiveMillis = number(body, "time_to_live_ms", MIN_TTL_MILLIS, MAX_TTL_MILLIS);
        List<InstanceAnnouncement> instances = new ArrayList<>();
        for (JsonNode group : body.path("groups")) {
            instances.add(instance(endpoint, body, group, credential));
        }
        if (instances.isEmpty()) {
            throw invalid("field 'groups' must be a non-empty list");
        }
        long expiryNanos = nowNanos + timeToLiveMillis * NANOS_PER_MILLI;
        instances.forEach(instance -> membership.announce(instance, expiryNanos));
    }

    private InstanceAnnouncement instance(
            EndpointId endpoint, JsonNode body, JsonNode group, String credential) {
        GroupId id = GroupId.parse(text(group, "group"));
        requireCredential(id, credential);
        String upstream = group.path("upstream").asText("");
        if (!upstream.isEmpty()) {
            upstream = address(upstream).toString();
        }
        return new InstanceAnnouncement(
                endpoint,
                id,
                address(text(group, "host") + ":" + number(group, "port", 1, 65535)),
                text(body, "region"),
                text(body, "data_center"),
                body.path("incarnation").asLong(),
                group.path("primary").asBoolean(),
                number(group, "timeline", 1, Integer.MAX_VALUE),
                upstream,
                number(group, "connection_limit", 1, MAX_CONNECTIONS),
                body.path("leaving").asBoolean(),
                false);
    }

    private void requireCredential(GroupId group, String credential) {
        Database database = configuration.database(group.database());
        byte[] hash = configuration.credentialHash(group.database());
        boolean valid =
                database != null
                        && hash != null
                        && credential != null
                        && ClientKey.parse(credential).matches(hash);
        if (!valid) {
            throw new ChivevaleException(
                    ResultCode.CREDENTIAL_REFUSED,
                    "the credential is not valid for database '" + group.database() + "'");
        }
        if (group.slot() >= database.slots()) {
            throw invalid("database " + group.database() + " has no slot " + group.slot());
        }
    }

    private static HostPort address(String text) {
        try {
            return HostPort.parse(text);
        } catch (ChivevaleException e) {
            throw invalid(e.getMessage());
        }
    }

    private static String text(JsonNode node, String name) {
        String text = node.path(name).asText("");
        if (text.isEmpty() || text.length() > MAX_NAME_CHARS) {
            throw invalid(
                    "field '"
                            + name
                            + "' must be a text of 1 to "
                            + MAX_NAME_CHARS
                            + " characters");
        }
        return text;
    }

    private static int number(JsonNode node, String name, int min, int max) {
        JsonNode value = node.path(name);
        if (!value.canConvertToInt() || value.asInt() < min || value.asInt() > max) {
            throw invalid("field '" + name + "' must be a whole number, " + min + " to " + max);
        }
        return value.asInt();
    }

    private static ChivevaleException invalid(String message) {
        return new ChivevaleException(ResultCode.ANNOUNCEMENT_INVALID, message);
    }
}
