package review.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The infrastructure's promotion call; it doesn't check fences. */
final class Platform implements AutoCloseable {
    private static final Pattern SERVICE = Pattern.compile("\"service\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"");

    final List<Group> groups = new ArrayList<>();
    private final HttpServer server;
    private final Record record;
    private final long promoteMillis;
    private volatile long slowMillis;
    private volatile boolean isHeld;

    Platform(Record record, long promoteMillis) throws IOException {
        this.record = record;
        this.promoteMillis = promoteMillis;
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "platform");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/promote", this::promote);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void promote(HttpExchange exchange) throws IOException {
        String body =
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String service = find(SERVICE, body);
        String id = find(ID, body);
        record.log(
                "platform: promote %s of %s by %s with token %s",
                id,
                service,
                exchange.getRequestHeaders().getFirst("X-Chivevale-Duty-Holder"),
                exchange.getRequestHeaders().getFirst("X-Chivevale-Fencing-Token"));
        awaitHandling();
        int status = 404;
        for (Group group : groups) {
            if (group.service.equals(service)) {
                status = takeUp(group, id);
            }
        }
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    /** Lets a call wait: while the infrastructure is slow, it handles each call later. */
    private void awaitHandling() throws IOException {
        long delayMillis = slowMillis;
        long heldUntilNanos = System.nanoTime() + delayMillis * 1_000_000;
        try {
            while (isHeld || System.nanoTime() - heldUntilNanos < 0) {
                Thread.sleep(5);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Sets how much later than usual the infrastructure handles a call; 0 for as usual. */
    void setSlow(long millis) {
        slowMillis = millis;
        record.log("the infrastructure handles each call %d ms later", millis);
    }

    /** Sets whether the infrastructure takes calls and handles none of them for now. */
    void hold(boolean hold) {
        isHeld = hold;
        record.log("the infrastructure %s", hold ? "handles no calls" : "handles calls again");
    }

    /** The named backend leads some hundred milliseconds after the call. */
    private int takeUp(Group group, String id) {
        boolean isRunning =
                group.backends.stream().anyMatch(each -> each.id.equals(id) && !each.isDown);
        if (!isRunning) {
            return 409;
        }
        Thread later =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(promoteMillis);
                                group.promote(id);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "promotion");
        later.setDaemon(true);
        later.start();
        return 200;
    }

    private static String find(Pattern pattern, String text) {
        Matcher found = pattern.matcher(text);
        return found.find() ? found.group(1) : "";
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
