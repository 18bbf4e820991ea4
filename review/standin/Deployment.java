package review.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts the programs of the deploy file with its commands and templates, one loopback address for
 * each VM, and ends them again.
 */
final class Deployment implements AutoCloseable {
    static final Map<String, String> ZONES =
            new TreeMap<>(
                    Map.of(
                            "marmara-a", "marmara",
                            "ege-a", "ege",
                            "ic-anadolu-a", "ic-anadolu"));
    private static final int FIRST_CONTROL = 11;
    private static final int FIRST_PROXY = 31;
    private static final int SEEDS = 3;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    final List<String> controlAddresses = new ArrayList<>();
    final List<InetSocketAddress> clientAddresses = new ArrayList<>();
    final List<Process> controls = new ArrayList<>();
    final List<Process> proxies = new ArrayList<>();
    private final List<Process> started = new CopyOnWriteArrayList<>();
    private final Path root;
    private final Path folder;
    private final Record record;
    private final String platformAddress;
    private final int controlPort;
    private final int frontPort;
    private final int readyPort;
    private final int internalPort;
    private final List<String> seeds = new ArrayList<>();
    private final HttpClient http =
            HttpClient.newBuilder()
                    .followRedirects(HttpClient.Redirect.NORMAL)
                    .connectTimeout(CALL_TIMEOUT)
                    .build();

    Deployment(Path root, Record record, String platformAddress) throws IOException {
        this.root = root;
        this.record = record;
        this.platformAddress = platformAddress;
        this.folder = Files.createTempDirectory("chivevale-review");
        controlPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
        internalPort = freePortPair();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.getLocalPort();
        }
    }

    private static int freePortPair() throws IOException {
        while (true) {
            int port = freePort();
            try {
                new ServerSocket(port + 1, 1, InetAddress.getByName("127.0.0.1")).close();
                return port;
            } catch (IOException e) {
                // Another program has the second port.
            }
        }
    }

    /** Starts all programs; the first control processes are the seeds. */
    void start(int controlCount, int proxyCount) throws IOException {
        for (int i = 0; i < controlCount; i++) {
            controlAddresses.add("127.0.0." + (FIRST_CONTROL + i) + ":" + controlPort);
        }
        seeds.addAll(controlAddresses.subList(0, Math.min(SEEDS, controlCount)));
        for (int i = 0; i < controlCount; i++) {
            controls.add(startControl(i, true));
        }
        for (int i = 0; i < proxyCount; i++) {
            clientAddresses.add(new InetSocketAddress("127.0.0." + (FIRST_PROXY + i), frontPort));
            proxies.add(startProxy(i));
        }
    }

    Process startControl(int number, boolean isFirstStart) throws IOException {
        return launch("control", number, "127.0.0." + (FIRST_CONTROL + number), isFirstStart);
    }

    Process startProxy(int number) throws IOException {
        return launch("proxy", number, "127.0.0." + (FIRST_PROXY + number), false);
    }

    /** Kills all programs. */
    void killAll() throws InterruptedException {
        List<Process> all = new ArrayList<>(controls);
        all.addAll(proxies);
        all.forEach(Process::destroyForcibly);
        for (Process each : all) {
            each.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Starts all programs again, with their disks. */
    void restartAll() throws IOException {
        for (int i = 0; i < controls.size(); i++) {
            controls.set(i, startControl(i, false));
        }
        for (int i = 0; i < proxies.size(); i++) {
            proxies.set(i, startProxy(i));
        }
    }

    private Process launch(String role, int number, String ip, boolean bootstrap)
            throws IOException {
        String name = role + "-" + number;
        Map<String, Object> fields = fields(name, number, ip, bootstrap);
        String template = Files.readString(root.resolve("deploy/" + role + ".toml"));
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, Template.render(template, fields));
        ProcessBuilder builder = new ProcessBuilder(command(role)).directory(root.toFile());
        builder.environment().put("CHIVEVALE_SETTINGS", settings.toString());
        if (role.equals("proxy")) {
            builder.environment().put("CHIVEVALE_CLIENT_LISTEN", ip + ":" + frontPort);
        }
        builder.redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process program = builder.start();
        started.add(program);
        record.log("started %s at %s", name, ip);
        return program;
    }

    private Map<String, Object> fields(String name, int number, String ip, boolean bootstrap) {
        List<String> zones = List.copyOf(ZONES.keySet());
        String zone = zones.get(number % zones.size());
        Map<String, Object> fields = new HashMap<>();
        fields.put("node_name", name);
        fields.put("ip", ip);
        fields.put("zone", zone);
        fields.put("region", ZONES.get(zone));
        fields.put("zones", ZONES);
        fields.put("internal_ports", List.of(internalPort, internalPort + 1));
        fields.put("seeds", seeds);
        fields.put("bootstrap", bootstrap);
        fields.put("data_dir", folder.resolve(name + "-data").toString());
        fields.put("bounds", Map.of());
        fields.put("cloud", Map.of("address", platformAddress));
        fields.put(
                "listen",
                Map.of(
                        "control", ip + ":" + controlPort,
                        "front", ip + ":" + frontPort,
                        "ready", ip + ":" + readyPort));
        return fields;
    }

    private List<String> command(String role) throws IOException {
        String deployFile = Files.readString(root.resolve("deploy/system.toml"));
        String section = deployFile.substring(deployFile.indexOf("[roles." + role + "]"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(section);
        if (!run.find()) {
            throw new IOException("the deploy file has no command for " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    /** Calls control as the pages say: at one process after the other, until one answers. */
    int call(int first, String path, String body) {
        for (int i = 0; i < controlAddresses.size(); i++) {
            String address = controlAddresses.get((first + i) % controlAddresses.size());
            try {
                HttpRequest request =
                        HttpRequest.newBuilder(URI.create("http://" + address + path))
                                .timeout(CALL_TIMEOUT)
                                .header("Content-Type", "application/json")
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build();
                int status = http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
                if (status < 500) {
                    return status;
                }
            } catch (IOException e) {
                record.log("%s at %s: %s", path, address, e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 0;
            }
        }
        return 0;
    }

    /** Sends a configuration until it gets a clear answer; returns the status, 0 for none. */
    int configure(String body, int maxSeconds) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(maxSeconds);
        int status = 0;
        for (int i = 0; status == 0 && System.nanoTime() < endNanos; i++) {
            status = call(i, "/chivevale/Config.Replace", body);
            Thread.sleep(status == 0 ? 200 : 0);
        }
        record.log("config %s -> %d", body.replace('\n', ' '), status);
        return status;
    }

    /** Asks a proxy whether it is ready; 0 for no answer. */
    int readiness(int proxy) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://127.0.0."
                                                    + (FIRST_PROXY + proxy)
                                                    + ":"
                                                    + readyPort
                                                    + "/chivevale/ready"))
                            .timeout(CALL_TIMEOUT)
                            .build();
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Waits until all proxies are ready. */
    boolean awaitReady(int maxSeconds) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(maxSeconds);
        while (System.nanoTime() < endNanos) {
            boolean isReady = true;
            for (int i = 0; i < proxies.size(); i++) {
                isReady &= readiness(i) == 200;
            }
            if (isReady) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    Socket connect(int proxy) throws IOException {
        return connect(proxy, new Socket());
    }

    /** Connects with a small receive window. */
    Socket connectWithWindow(int proxy, int windowBytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(windowBytes);
        return connect(proxy, socket);
    }

    private Socket connect(int proxy, Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(clientAddresses.get(proxy), 2000);
        return socket;
    }

    @Override
    public void close() {
        endAll();
        if (System.getenv("KEEP") != null) {
            System.out.println("settings and logs of the programs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            System.out.println("cannot remove " + folder + ": " + e);
        }
    }

    /** Ends all processes that were started here. */
    private void endAll() {
        List<Process> all = new ArrayList<>(started);
        all.forEach(Process::destroyForcibly);
        for (Process each : all) {
            try {
                each.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
