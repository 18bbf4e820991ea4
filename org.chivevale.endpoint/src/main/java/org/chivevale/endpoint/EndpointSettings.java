package org.chivevale.endpoint;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.chivevale.core.settings.HostPort;
import org.chivevale.core.settings.Settings;

/**
 * Settings of the stand-in endpoint.
 *
 * <p>Immutable.
 *
 * @param id the endpoint's name
 * @param region where it stands
 * @param dataCenter where it stands
 * @param database the database it serves
 * @param slots the slots it serves
 * @param primarySlots the slots that it starts as primary of
 * @param listen where clients and replicas connect
 * @param control where faults are commanded
 * @param announceTo where it announces itself
 * @param credential the database's announcement credential
 * @param password what the login role must send
 * @param dataFolder where logs are kept
 * @param connectionLimit connections that each group accepts
 * @param connectDelayMillis what a new connection costs
 * @param timeToLiveMillis how long an announcement counts
 * @param leaveMillis how long it goes on serving after it announced that it leaves
 * @param announcedAddress where others reach it
 */
public record EndpointSettings(
        String id,
        String region,
        String dataCenter,
        String database,
        List<Integer> slots,
        List<Integer> primarySlots,
        HostPort listen,
        HostPort control,
        List<HostPort> announceTo,
        String credential,
        String password,
        Path dataFolder,
        int connectionLimit,
        int connectDelayMillis,
        int timeToLiveMillis,
        int leaveMillis,
        HostPort announcedAddress) {
    private static final int DEFAULT_CONNECTIONS = 20;
    private static final int DEFAULT_CONNECT_MILLIS = 12;
    private static final int DEFAULT_TIME_TO_LIVE_MILLIS = 2000;
    private static final int DEFAULT_LEAVE_MILLIS = 5000;
    private static final int MAX_MILLIS = 600_000;
    private static final int MAX_CONNECTIONS = 100_000;

    /**
     * Reads and checks a file.
     *
     * @param path the file
     * @return the settings
     */
    public static EndpointSettings read(Path path) {
        Settings in = Settings.read(path);
        HostPort listen = in.address("listen");
        String announced = in.text("announced_address", listen.toString(), "\"IP:PORT\"");
        EndpointSettings settings =
                new EndpointSettings(
                        in.text("id", "a name"),
                        in.text("region", "a name"),
                        in.text("data_center", "a name"),
                        in.text("database", "a name"),
                        slots(in, "slots"),
                        slots(in, "primary_slots"),
                        listen,
                        in.address("control_listen"),
                        in.addresses("announce_to"),
                        in.text("credential", "the key that operators were given for the database"),
                        in.text("password", "a text"),
                        Path.of(in.text("data_folder", "a folder")),
                        in.number("connection_limit", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS),
                        in.number("connect_delay_ms", DEFAULT_CONNECT_MILLIS, 0, MAX_MILLIS),
                        in.number("time_to_live_ms", DEFAULT_TIME_TO_LIVE_MILLIS, 100, MAX_MILLIS),
                        in.number("leave_ms", DEFAULT_LEAVE_MILLIS, 0, MAX_MILLIS),
                        HostPort.parse(announced));
        in.check();
        return settings;
    }

    private static List<Integer> slots(Settings in, String key) {
        List<Integer> slots = new ArrayList<>();
        for (String text : in.texts(key)) {
            try {
                slots.add(Integer.valueOf(text));
            } catch (NumberFormatException e) {
                in.reject(key, text, "a list of texts that are slot numbers");
            }
        }
        return slots;
    }
}
