package org.chivevale.endpoint;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.group.LogPosition;
import org.chivevale.core.settings.HostPort;
import org.chivevale.endpoint.internal.instance.Instance;
import org.jboss.logging.Logger;

/**
 * Announces the endpoint to the control processes and renews the announcement before it expires.
 *
 * <p>Addresses are tried in turn until one accepts the announcement. Thread safe.
 */
final class Announcer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Announcer.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int RENEWALS_PER_TIME_TO_LIVE = 5;
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private final EndpointSettings settings;
    private final Collection<Instance> instances;
    private final Faults faults;
    private final int port;
    private final long incarnation = System.currentTimeMillis();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(
                    body -> {
                        Thread thread = new Thread(body, "announcer");
                        thread.setDaemon(true);
                        return thread;
                    });
    private volatile boolean draining;
    private int preferredIndex;
    private boolean lastAccepted;

    Announcer(EndpointSettings settings, Collection<Instance> instances, Faults faults, int port) {
        this.settings = settings;
        this.instances = instances;
        this.faults = faults;
        this.port = port;
        long periodMillis = Math.max(1, settings.timeToLiveMillis() / RENEWALS_PER_TIME_TO_LIVE);
        scheduler.scheduleWithFixedDelay(this::announce, 0, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** Announces at once, after a change of role. */
    void announceNow() {
        scheduler.execute(this::announce);
    }

    /** Announces that the endpoint shuts down, so that its clients move away. */
    void announceDraining() {
        draining = true;
        announceNow();
    }

    private void announce() {
        if (faults.isSilent()) {
            return;
        }
        try {
            announceToAny();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.errorf("cannot announce the endpoint: %s", e);
        }
    }

    private void announceToAny() throws InterruptedException {
        for (int i = 0; i < settings.announceTo().size(); i++) {
            int index = (preferredIndex + i) % settings.announceTo().size();
            if (announceTo(settings.announceTo().get(index))) {
                preferredIndex = index;
                return;
            }
        }
    }

    private boolean announceTo(HostPort address) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/v1/announcements"))
                        .timeout(REQUEST_TIMEOUT)
                        .header("Authorization", "Bearer " + settings.credential())
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(createBody().toString()))
                        .build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            boolean accepted = response.statusCode() == OK;
            if (accepted != lastAccepted) {
                lastAccepted = accepted;
                LOG.infof(
                        "announcement to %s: %d %s",
                        address, response.statusCode(), response.body());
            }
            return accepted;
        } catch (IOException e) {
            LOG.debugf("cannot announce to %s: %s", address, e);
            return false;
        }
    }

    private ObjectNode createBody() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("endpoint", settings.id());
        body.put("incarnation", incarnation);
        body.put("region", settings.region());
        body.put("data_center", settings.dataCenter());
        body.put("time_to_live_ms", settings.timeToLiveMillis());
        body.put("leaving", draining);
        ArrayNode groups = body.putArray("groups");
        instances.forEach(instance -> addGroup(groups.addObject(), instance));
        return body;
    }

    private void addGroup(ObjectNode group, Instance instance) {
        HostPort address = settings.announcedAddress();
        group.put("group", instance.group().toString());
        group.put("host", address.host());
        group.put("port", address.port() == 0 ? port : address.port());
        group.put("primary", instance.isPrimary());
        group.put("timeline", instance.timeline());
        group.put("position", LogPosition.format(instance.receivedPosition()));
        HostPort upstream = instance.upstream();
        group.put("upstream", upstream == null ? "" : upstream.toString());
        group.put("connection_limit", faults.connectionLimit());
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
