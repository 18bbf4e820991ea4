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
    private boolean isSlow;
    private long nextTurn;
    private long turnsTaken;

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
        awaitTurn();
        int status = 404;
        for (Group group : groups) {
            if (group.service.equals(service)) {
                status = takeUp(group, id);
            }
        }
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    /** While the infrastructure is slow, calls wait; then they are handled in their order. */
    private synchronized void awaitTurn() throws IOException {
        long turn = nextTurn++;
        try {
            while (isSlow || turn != turnsTaken) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            turnsTaken++;
            notifyAll();
        }
    }

    /** Makes the infrastructure slow: it takes calls and handles them later. */
    synchronized void setSlow(boolean slow) {
        isSlow = slow;
        record.log("the infrastructure is %s", slow ? "slow" : "as usual");
        notifyAll();
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
