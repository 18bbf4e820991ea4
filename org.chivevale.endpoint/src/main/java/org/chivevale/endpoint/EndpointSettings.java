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
 * @param region the region it runs in
 * @param dataCenter the data centre it runs in
 * @param database the database it serves
 * @param slots the slots of the database that it serves, one group per slot
 * @param primarySlots the slots whose groups it is the initial primary of
 * @param listen the address that clients and replicas connect to
 * @param control the address of the fault server
 * @param announceTo the addresses to announce the endpoint to
 * @param credential the database's announcement credential
 * @param password the password of the login role
 * @param dataFolder the directory of the log files
 * @param connectionLimit maximum number of connections per group
 * @param connectDelayMillis delay added to each new connection
 * @param timeToLiveMillis validity of an announcement
 * @param drainMillis how long it keeps serving after it has announced its shutdown
 * @param announcedAddress the address that others reach it at
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
        int drainMillis,
        HostPort announcedAddress) {
    private static final int DEFAULT_CONNECTIONS = 20;
    private static final int DEFAULT_CONNECT_MILLIS = 12;
    private static final int DEFAULT_TIME_TO_LIVE_MILLIS = 2000;
    private static final int DEFAULT_DRAIN_MILLIS = 5000;
    private static final int MAX_MILLIS = 600_000;
    private static final int MAX_CONNECTIONS = 100_000;

    /**
     * Reads and validates a settings file.
     *
     * @param path the TOML file
     * @return the validated settings
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
                        in.number("leave_ms", DEFAULT_DRAIN_MILLIS, 0, MAX_MILLIS),
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
