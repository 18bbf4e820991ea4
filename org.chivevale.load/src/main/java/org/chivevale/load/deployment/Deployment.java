package org.chivevale.load.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.settings.HostPort;
import org.chivevale.ctl.AdminClient;

/**
 * A trial deployment on loopback: control, endpoints and proxies as processes of their own.
 *
 * <p>Used by one thread; processes may be killed and started by others.
 */
public final class Deployment implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PASSWORD = "stand-in";
    private static final int CONTROL_HEAP_MEGABYTES = 128;
    private static final int PROXY_HEAP_MEGABYTES = 192;
    private static final int ENDPOINT_HEAP_MEGABYTES = 320;
    private static final long READY_MILLIS = 60_000;
    private static final long POLL_MILLIS = 25;

    private final DeploymentPlan plan;
    private final Path folder;
    private final String operatorKey = ClientKey.random(new SecureRandom()).reveal();
    private final List<ControlNode> controls = new ArrayList<>();
    private final List<ProxyNode> proxies = new ArrayList<>();
    private final Map<String, EndpointNode> endpoints = new LinkedHashMap<>();
    private final Map<String, String> keys = new LinkedHashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private UnaryOperator<HostPort> endpointRoute = address -> address;
    private boolean optimized;
    private UnaryOperator<HostPort> controlRoute = address -> address;

    /**
     * A control process.
     *
     * @param id its name
     * @param process the process
     * @param admin where operators call
     * @param wire where proxies connect
     * @param data its data folder
     */
    public record ControlNode(
            String id, ChildProcess process, HostPort admin, HostPort wire, Path data) {}

    /**
     * A proxy.
     *
     * @param id its name
     * @param region where it stands
     * @param process the process
     * @param listen where callers connect
     */
    public record ProxyNode(String id, String region, ChildProcess process, HostPort listen) {}

    /**
     * An endpoint.
     *
     * @param id its name
     * @param database the database it serves
     * @param region where it stands
     * @param process the process
     * @param listen where clients connect
     * @param control where faults are commanded
     */
    public record EndpointNode(
            String id,
            String database,
            String region,
            ChildProcess process,
            HostPort listen,
            HostPort control) {}

    /**
     * Describes a deployment that is not started.
     *
     * @param plan what it consists of
     * @param folder where settings, data and logs are kept
     */
    public Deployment(DeploymentPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
    }

    /**
     * Puts something between endpoints and all that connect to them.
     *
     * @param route gives the announced address for a real one
     * @return this deployment
     */
    public Deployment routeEndpoints(UnaryOperator<HostPort> route) {
        endpointRoute = route;
        return this;
    }

    /**
     * Puts something between control processes and proxies.
     *
     * @param route gives the address that proxies use for a real one
     * @return this deployment
     */
    public Deployment routeControl(UnaryOperator<HostPort> route) {
        controlRoute = route;
        return this;
    }

    /**
     * Lets all processes compile as they would in service.
     *
     * @return this deployment
     */
    public Deployment optimized() {
        optimized = true;
        return this;
    }

    /** Starts everything and waits until each group has its primary and replicas. */
    public void start() {
        startControl();
        startProxies();
        plan.databases().forEach(this::startDatabase);
        plan.accounts().forEach(this::createAccount);
        await("proxies hold leases", () -> proxies.stream().allMatch(this::healthy));
        await("groups are complete", this::groupsComplete);
    }

    private void startControl() {
        List<HostPort> wires = new ArrayList<>();
        List<HostPort> admins = new ArrayList<>();
        for (int i = 0; i < plan.controls(); i++) {
            wires.add(FreePorts.next());
            admins.add(FreePorts.next());
        }
        for (int i = 0; i < plan.controls(); i++) {
            String id = "control-" + (i + 1);
            Path data = folder.resolve(id).resolve("data");
            List<String> lines = new ArrayList<>();
            addPlace(lines, id, i);
            lines.add(quoted("admin_listen", admins.get(i)));
            lines.add(quoted("wire_listen", wires.get(i)));
            lines.add(quoted("data_folder", data));
            lines.add(quoted("operator_key", operatorKey));
            lines.add(quoted("database_password", PASSWORD));
            lines.addAll(plan.controlSettings());
            ChildProcess process =
                    process(id, "org.chivevale.control.ControlMain", CONTROL_HEAP_MEGABYTES, lines);
            controls.add(new ControlNode(id, process, admins.get(i), wires.get(i), data));
            process.start();
        }
        await("control answers", this::controlAnswers);
    }

    private boolean controlAnswers() {
        return controls.stream()
                .anyMatch(control -> get(control.admin(), "/health").path("leading").asBoolean());
    }

    private void addPlace(List<String> lines, String id, int index) {
        String region = plan.regions().get(index % plan.regions().size());
        lines.add(quoted("id", id));
        lines.add(quoted("region", region));
        lines.add(quoted("data_center", region + "-1"));
    }

    private static String quoted(String key, Object value) {
        return key + " = \"" + value + "\"";
    }

    private ChildProcess process(
            String id, String mainClass, int heapMegabytes, List<String> lines) {
        try {
            Path home = folder.resolve(id);
            Files.createDirectories(home);
            Path settings = home.resolve("settings.toml");
            Files.write(settings, lines);
            ChildProcess process =
                    new ChildProcess(
                            id, mainClass, heapMegabytes, settings, home.resolve("output.log"));
            return optimized ? process.optimized() : process;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startProxies() {
        StringBuilder control = new StringBuilder();
        for (ControlNode node : controls) {
            control.append(control.isEmpty() ? "" : ", ");
            control.append('"').append(controlRoute.apply(node.wire())).append('"');
        }
        for (int i = 0; i < plan.proxies(); i++) {
            String id = "proxy-" + (i + 1);
            HostPort listen = FreePorts.next();
            List<String> lines = new ArrayList<>();
            addPlace(lines, id, i);
            lines.add(quoted("listen", listen));
            lines.add(quoted("forward_listen", FreePorts.next()));
            lines.add("control = [" + control + "]");
            lines.add(quoted("database_password", PASSWORD));
            lines.addAll(plan.proxySettings());
            ChildProcess process =
                    process(id, "org.chivevale.proxy.ProxyMain", PROXY_HEAP_MEGABYTES, lines);
            String region = plan.regions().get(i % plan.regions().size());
            proxies.add(new ProxyNode(id, region, process, listen));
            process.start();
        }
    }

    private void startDatabase(DeploymentPlan.DatabasePlan database) {
        ObjectNode intent =
                MAPPER.createObjectNode()
                        .put("kind", "database-create")
                        .put("database", database.name())
                        .put("slots", database.slots())
                        .put("endpoints_per_group", database.endpoints())
                        .put("acknowledge", database.acknowledge());
        String credential = admin().carryOut(intent).path("secret").asText();
        for (int i = 0; i < database.endpoints(); i++) {
            startEndpoint(database, i, credential);
        }
    }

    private void startEndpoint(DeploymentPlan.DatabasePlan database, int index, String credential) {
        String id = database.name() + "-" + (index + 1);
        HostPort listen = FreePorts.next();
        HostPort control = FreePorts.next();
        List<String> lines = new ArrayList<>();
        addPlace(lines, id, index);
        lines.add(quoted("database", database.name()));
        lines.add("slots = " + slots(database, index, false));
        lines.add("primary_slots = " + slots(database, index, true));
        lines.add(quoted("listen", listen));
        lines.add(quoted("announced_address", endpointRoute.apply(listen)));
        lines.add(quoted("control_listen", control));
        StringBuilder announceTo = new StringBuilder();
        for (ControlNode node : controls) {
            announceTo.append(announceTo.isEmpty() ? "" : ", ");
            announceTo.append('"').append(node.admin()).append('"');
        }
        lines.add("announce_to = [" + announceTo + "]");
        lines.add(quoted("credential", credential));
        lines.add(quoted("password", PASSWORD));
        lines.add(quoted("data_folder", folder.resolve(id).resolve("data")));
        lines.add("connection_limit = " + database.connectionLimit());
        ChildProcess process =
                process(id, "org.chivevale.endpoint.EndpointMain", ENDPOINT_HEAP_MEGABYTES, lines);
        String region = plan.regions().get(index % plan.regions().size());
        endpoints.put(id, new EndpointNode(id, database.name(), region, process, listen, control));
        process.start();
    }

    private static String slots(
            DeploymentPlan.DatabasePlan database, int endpoint, boolean primaryOnly) {
        StringBuilder list = new StringBuilder("[");
        for (int slot = 0; slot < database.slots(); slot++) {
            if (!primaryOnly || slot % database.endpoints() == endpoint) {
                list.append(list.length() > 1 ? ", " : "").append('"').append(slot).append('"');
            }
        }
        return list.append("]").toString();
    }

    private void createAccount(DeploymentPlan.AccountPlan account) {
        ObjectNode intent =
                MAPPER.createObjectNode()
                        .put("kind", "account-create")
                        .put("account", account.name())
                        .put("rate_per_second", account.ratePerSecond())
                        .put("burst", account.burst())
                        .put("latency_objective_ms", account.objectiveMillis());
        account.databases().forEach(intent.putArray("databases")::add);
        admin().carryOut(intent);
        keys.put(account.name(), createKey(account.name()));
    }

    /**
     * Creates a key of a client account.
     *
     * @param account the client account
     * @return the key
     */
    public String createKey(String account) {
        ObjectNode intent =
                MAPPER.createObjectNode().put("kind", "key-create").put("account", account);
        return admin().carryOut(intent).path("secret").asText();
    }

    private boolean healthy(ProxyNode proxy) {
        return get(proxy.listen(), "/health").path("leased").asBoolean();
    }

    /**
     * Tells whether each group has its primary and all its replicas in the primary's term.
     *
     * @return false while one is missing
     */
    public boolean groupsComplete() {
        JsonNode status = admin().get("/v1/status");
        for (DeploymentPlan.DatabasePlan database : plan.databases()) {
            for (JsonNode group : status.path("groups")) {
                boolean ofDatabase = group.path("group").asText().startsWith(database.name() + ".");
                if (ofDatabase && !complete(group, database.endpoints())) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean complete(JsonNode group, int endpoints) {
        String primary = group.path("primary").asText();
        int following = 0;
        String primaryAddress = "";
        for (JsonNode member : group.path("members")) {
            if (member.path("endpoint").asText().equals(primary)) {
                primaryAddress = member.path("address").asText();
            }
        }
        for (JsonNode member : group.path("members")) {
            boolean follows =
                    member.path("follows").asText().equals(primaryAddress)
                            && member.path("term").equals(group.path("term"));
            following += follows && !member.path("primary").asBoolean() ? 1 : 0;
        }
        return !primary.isEmpty() && !primaryAddress.isEmpty() && following >= endpoints - 1;
    }

    /**
     * Polls a condition.
     *
     * @param what is awaited, for the error
     * @param condition is polled until it holds
     */
    public static void await(String what, BooleanSupplier condition) {
        long end = System.currentTimeMillis() + READY_MILLIS;
        while (System.currentTimeMillis() < end) {
            if (holds(condition)) {
                return;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
        throw new IllegalStateException("not in time: " + what);
    }

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (RuntimeException e) {
            return false;
        }
    }

    /**
     * Reads JSON from a process; an empty object when it does not answer.
     *
     * @param address the process
     * @param path the path
     * @return what it answered
     */
    public JsonNode get(HostPort address, String path) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofSeconds(2))
                        .build();
        try {
            HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
            return MAPPER.readTree(answer.body());
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return MAPPER.createObjectNode();
        }
    }

    /**
     * Sets a fault at an endpoint.
     *
     * @param endpoint the endpoint
     * @param command the fault as a JSON object
     */
    public void fault(String endpoint, String command) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://" + endpoints.get(endpoint).control() + "/faults"))
                        .timeout(Duration.ofSeconds(5))
                        .POST(HttpRequest.BodyPublishers.ofString(command))
                        .build();
        try {
            http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns a client of the administration API with the first operator's key.
     *
     * @return the client
     */
    public AdminClient admin() {
        List<String> addresses =
                controls.stream().map(control -> control.admin().toString()).toList();
        return new AdminClient(addresses, operatorKey);
    }

    /**
     * Returns the first operator's key.
     *
     * @return the key
     */
    public String operatorKey() {
        return operatorKey;
    }

    /**
     * Returns a client account's key.
     *
     * @param account the client account
     * @return the key made at the start
     */
    public String key(String account) {
        return keys.get(account);
    }

    /**
     * Lists the control processes.
     *
     * @return in the order of their names
     */
    public List<ControlNode> controls() {
        return controls;
    }

    /**
     * Lists the proxies.
     *
     * @return in the order of their names
     */
    public List<ProxyNode> proxies() {
        return proxies;
    }

    /**
     * Lists the endpoints.
     *
     * @return by their names
     */
    public Map<String, EndpointNode> endpoints() {
        return endpoints;
    }

    /**
     * Returns what the deployment consists of.
     *
     * @return the plan
     */
    public DeploymentPlan plan() {
        return plan;
    }

    /**
     * Finds a group's primary in the status.
     *
     * @param group the group
     * @return the endpoint's name; empty while there is none
     */
    public String primaryOf(String group) {
        for (JsonNode one : admin().get("/v1/status").path("groups")) {
            if (one.path("group").asText().equals(group)) {
                return one.path("primary").asText();
            }
        }
        return "";
    }

    @Override
    public void close() {
        proxies.forEach(proxy -> proxy.process().close());
        endpoints.values().forEach(endpoint -> endpoint.process().close());
        controls.forEach(control -> control.process().close());
    }
}
