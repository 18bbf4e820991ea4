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
 * A deployment on loopback: control processes, endpoints and proxies as child processes.
 *
 * <p>Used by one thread; other threads may kill and start the processes.
 */
public final class Deployment implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PASSWORD = "stand-in";
    private static final int CONTROL_HEAP_MEGABYTES = 128;
    private static final int PROXY_HEAP_MEGABYTES = 192;
    private static final int ENDPOINT_HEAP_MEGABYTES = 320;
    private static final long AWAIT_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_MILLIS = 25;

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
     * @param id name of the control process
     * @param process the child process
     * @param admin address of the administration API
     * @param wire address to which proxies connect
     * @param data data folder
     */
    public record ControlNode(
            String id, ChildProcess process, HostPort admin, HostPort wire, Path data) {}

    /**
     * A proxy.
     *
     * @param id name of the proxy
     * @param region region of the proxy
     * @param process the child process
     * @param listen address to which callers connect
     */
    public record ProxyNode(String id, String region, ChildProcess process, HostPort listen) {}

    /**
     * An endpoint.
     *
     * @param id name of the endpoint
     * @param database the database that it serves
     * @param region region of the endpoint
     * @param process the child process
     * @param listen address to which database clients connect
     * @param control address of the fault injection API
     */
    public record EndpointNode(
            String id,
            String database,
            String region,
            ChildProcess process,
            HostPort listen,
            HostPort control) {}

    /**
     * Describes a deployment; its processes run after {@link #start}.
     *
     * @param plan the parts of the deployment
     * @param folder existing folder for settings, data and logs
     */
    public Deployment(DeploymentPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
    }

    /**
     * Routes all connections to endpoints through other addresses, such as a {@link FaultProxy}.
     *
     * @param route maps the address of an endpoint to the address that it announces
     * @return this deployment
     */
    public Deployment routeEndpoints(UnaryOperator<HostPort> route) {
        endpointRoute = route;
        return this;
    }

    /**
     * Routes the connections of proxies to control processes through other addresses.
     *
     * @param route maps the address of a control process to the address that proxies use
     * @return this deployment
     */
    public Deployment routeControl(UnaryOperator<HostPort> route) {
        controlRoute = route;
        return this;
    }

    /**
     * Enables all JIT compilers in all processes, as in production.
     *
     * @return this deployment
     */
    public Deployment optimized() {
        optimized = true;
        return this;
    }

    /** Starts all processes and waits until each group has its primary and replicas. */
    public void start() {
        startControl();
        startProxies();
        plan.databases().forEach(this::startDatabase);
        plan.accounts().forEach(this::createAccount);
        await("proxies hold leases", () -> proxies.stream().allMatch(this::hasLease));
        await("groups are complete", this::groupsComplete);
    }

    private void startControl() {
        List<HostPort> wireAddresses = new ArrayList<>();
        List<HostPort> adminAddresses = new ArrayList<>();
        for (int i = 0; i < plan.controls(); i++) {
            wireAddresses.add(FreePorts.next());
            adminAddresses.add(FreePorts.next());
        }
        for (int i = 0; i < plan.controls(); i++) {
            String id = "control-" + (i + 1);
            Path data = folder.resolve(id).resolve("data");
            List<String> lines = new ArrayList<>();
            addIdentity(lines, id, i);
            lines.add(settingsLine("admin_listen", adminAddresses.get(i)));
            lines.add(settingsLine("wire_listen", wireAddresses.get(i)));
            lines.add(settingsLine("data_folder", data));
            lines.add(settingsLine("operator_key", operatorKey));
            lines.add(settingsLine("database_password", PASSWORD));
            lines.addAll(plan.controlSettings());
            ChildProcess process =
                    createProcess(
                            id, "org.chivevale.control.ControlMain", CONTROL_HEAP_MEGABYTES, lines);
            controls.add(
                    new ControlNode(
                            id, process, adminAddresses.get(i), wireAddresses.get(i), data));
            process.start();
        }
        await("control has a leader", this::hasControlLeader);
    }

    private boolean hasControlLeader() {
        return controls.stream()
                .anyMatch(control -> get(control.admin(), "/health").path("leading").asBoolean());
    }

    private void addIdentity(List<String> lines, String id, int index) {
        String region = plan.regions().get(index % plan.regions().size());
        lines.add(settingsLine("id", id));
        lines.add(settingsLine("region", region));
        lines.add(settingsLine("data_center", region + "-1"));
    }

    private static String settingsLine(String key, Object value) {
        return key + " = \"" + value + "\"";
    }

    private ChildProcess createProcess(
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
        StringBuilder controlList = new StringBuilder();
        for (ControlNode node : controls) {
            controlList.append(controlList.isEmpty() ? "" : ", ");
            controlList.append('"').append(controlRoute.apply(node.wire())).append('"');
        }
        for (int i = 0; i < plan.proxies(); i++) {
            String id = "proxy-" + (i + 1);
            HostPort listen = FreePorts.next();
            List<String> lines = new ArrayList<>();
            addIdentity(lines, id, i);
            lines.add(settingsLine("listen", listen));
            lines.add(settingsLine("forward_listen", FreePorts.next()));
            lines.add("control = [" + controlList + "]");
            lines.add(settingsLine("database_password", PASSWORD));
            lines.addAll(plan.proxySettings());
            ChildProcess process =
                    createProcess(id, "org.chivevale.proxy.ProxyMain", PROXY_HEAP_MEGABYTES, lines);
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
        String credential = admin().planAndConfirm(intent).path("secret").asText();
        for (int i = 0; i < database.endpoints(); i++) {
            startEndpoint(database, i, credential);
        }
    }

    private void startEndpoint(DeploymentPlan.DatabasePlan database, int index, String credential) {
        String id = database.name() + "-" + (index + 1);
        HostPort listen = FreePorts.next();
        HostPort control = FreePorts.next();
        List<String> lines = new ArrayList<>();
        addIdentity(lines, id, index);
        lines.add(settingsLine("database", database.name()));
        lines.add("slots = " + slotList(database, index, false));
        lines.add("primary_slots = " + slotList(database, index, true));
        lines.add(settingsLine("listen", listen));
        lines.add(settingsLine("announced_address", endpointRoute.apply(listen)));
        lines.add(settingsLine("control_listen", control));
        StringBuilder announceTo = new StringBuilder();
        for (ControlNode node : controls) {
            announceTo.append(announceTo.isEmpty() ? "" : ", ");
            announceTo.append('"').append(node.admin()).append('"');
        }
        lines.add("announce_to = [" + announceTo + "]");
        lines.add(settingsLine("credential", credential));
        lines.add(settingsLine("password", PASSWORD));
        lines.add(settingsLine("data_folder", folder.resolve(id).resolve("data")));
        lines.add("connection_limit = " + database.connectionLimit());
        ChildProcess process =
                createProcess(
                        id, "org.chivevale.endpoint.EndpointMain", ENDPOINT_HEAP_MEGABYTES, lines);
        String region = plan.regions().get(index % plan.regions().size());
        endpoints.put(id, new EndpointNode(id, database.name(), region, process, listen, control));
        process.start();
    }

    private static String slotList(
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
        admin().planAndConfirm(intent);
        keys.put(account.name(), createKey(account.name()));
    }

    /**
     * Creates another key of a client account.
     *
     * @param account name of the client account
     * @return the secret key
     */
    public String createKey(String account) {
        ObjectNode intent =
                MAPPER.createObjectNode().put("kind", "key-create").put("account", account);
        return admin().planAndConfirm(intent).path("secret").asText();
    }

    private boolean hasLease(ProxyNode proxy) {
        return get(proxy.listen(), "/health").path("leased").asBoolean();
    }

    /**
     * Returns whether each group has its primary and all its replicas in the primary's term.
     *
     * @return false while a primary or replica is missing
     */
    public boolean groupsComplete() {
        JsonNode status = admin().get("/v1/status");
        for (DeploymentPlan.DatabasePlan database : plan.databases()) {
            for (JsonNode group : status.path("groups")) {
                boolean ofDatabase = group.path("group").asText().startsWith(database.name() + ".");
                if (ofDatabase && !isComplete(group, database.endpoints())) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean isComplete(JsonNode group, int endpoints) {
        String primary = group.path("primary").asText();
        int replicasInTerm = 0;
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
            replicasInTerm += follows && !member.path("primary").asBoolean() ? 1 : 0;
        }
        return !primary.isEmpty() && !primaryAddress.isEmpty() && replicasInTerm >= endpoints - 1;
    }

    /**
     * Polls a condition until it holds; throws after 60 seconds.
     *
     * @param what describes the condition in the error message
     * @param condition polled until it is true; an exception counts as false
     */
    public static void await(String what, BooleanSupplier condition) {
        long end = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < end) {
            if (holds(condition)) {
                return;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
        throw new IllegalStateException("timed out waiting for: " + what);
    }

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (RuntimeException e) {
            return false;
        }
    }

    /**
     * Sends a GET request to a process.
     *
     * @param address address of its HTTP server
     * @param path path of the request
     * @return the JSON response; an empty object when there is none
     */
    public JsonNode get(HostPort address, String path) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofSeconds(2))
                        .build();
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            return MAPPER.readTree(response.body());
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return MAPPER.createObjectNode();
        }
    }

    /**
     * Injects a fault at an endpoint.
     *
     * @param endpoint name of the endpoint
     * @param command the fault as a JSON object
     */
    public void injectFault(String endpoint, String command) {
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
     * Creates a client of the administration API with the first operator's key.
     *
     * @return a new client
     */
    public AdminClient admin() {
        List<String> addresses =
                controls.stream().map(control -> control.admin().toString()).toList();
        return new AdminClient(addresses, operatorKey);
    }

    /**
     * Returns the first operator's key.
     *
     * @return the key, generated for this deployment
     */
    public String operatorKey() {
        return operatorKey;
    }

    /**
     * Returns a client account's key.
     *
     * @param account name of the client account
     * @return the key created by {@link #start}
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
     * Returns the endpoints.
     *
     * @return endpoints by their names
     */
    public Map<String, EndpointNode> endpoints() {
        return endpoints;
    }

    /**
     * Returns the parts of the deployment.
     *
     * @return the plan given to the constructor
     */
    public DeploymentPlan plan() {
        return plan;
    }

    /**
     * Returns the primary of a group, as control reports it.
     *
     * @param group id of the group
     * @return name of the endpoint; empty while there is none
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
