package review.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One backend: a database server that speaks the line protocol and reports itself to control.
 *
 * <p>Reads, writes and commits take one of its slots and wait for it in a queue of bounded length;
 * STATUS gets BUSY at once when no slot is free.
 */
final class Backend {
    private static final int SLOTS = 3;
    private static final int QUEUE = 24;
    private static final int BEAT_MILLIS = 1200;
    private static final int POLL_MILLIS = 50;
    private static final String REPORT_ROW = "x".repeat(100_000);

    /** One statement that ran, with the session values of its connection. */
    record Run(
            String id, String text, String tenant, Map<String, String> values, long atNanos) {}

    final String id;
    final String zone;
    final Group group;
    final List<Group.Commit> log = new ArrayList<>();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    volatile boolean leads;
    volatile boolean isDown;
    volatile boolean isDeaf;
    volatile boolean isDraining;
    volatile boolean isGone;
    volatile long drainAckedNanos;
    volatile long heldTerm;

    /** Part of the requests that fail while the backend reports itself as healthy. */
    volatile double failingShare;

    /** How long a read of an item with this prefix works. */
    volatile Map<String, Long> workMillis = Map.of();

    /** How many rows a read of a report returns. */
    volatile int reportRows = 1;

    private final Deployment deployment;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger queued = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final int port;
    private ServerSocket server;
    private long born;
    private long sequence;
    private final java.util.Random random;

    Backend(String id, String zone, Group group, Deployment deployment, long seed)
            throws IOException {
        this(id, zone, group, deployment, seed, Deployment.freePort());
    }

    Backend(String id, String zone, Group group, Deployment deployment, long seed, int port) {
        this.id = id;
        this.zone = zone;
        this.group = group;
        this.deployment = deployment;
        this.random = new java.util.Random(seed);
        this.port = port;
    }

    Backend start() throws IOException {
        group.add(this);
        listen();
        Thread beats = new Thread(this::reportAgainAndAgain, "beats-" + id);
        beats.setDaemon(true);
        beats.start();
        return this;
    }

    private void listen() throws IOException {
        born = System.currentTimeMillis();
        sequence = 0;
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        server = opened;
        Thread acceptor =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = opened.accept();
                                    sockets.add(socket);
                                    Thread thread =
                                            new Thread(() -> serve(socket), "connection-" + id);
                                    thread.setDaemon(true);
                                    thread.start();
                                }
                            } catch (IOException e) {
                                // The listener was closed by a crash.
                            }
                        },
                        "accept-" + id);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Crashes: all connections break, and nothing listens until it is back. */
    void crash() throws IOException {
        synchronized (group) {
            isDown = true;
            group.notifyAll();
        }
        server.close();
        for (Socket socket : sockets) {
            reset(socket);
        }
        sockets.clear();
        group.record.log("%s crashes", id);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It has been closed already.
        }
    }

    /** Comes back at its address, with its log. */
    void restart() throws IOException {
        group.onRestart(this);
        isDown = false;
        listen();
        group.record.log("%s is back", id);
    }

    /** Is lost for good: it crashes and never comes back. */
    int vanish() throws IOException {
        isGone = true;
        crash();
        return port;
    }

    /** Leaves as planned: it has told so, and nothing of it runs any more. */
    void leave() throws IOException {
        isGone = true;
        deployment.call(0, "/chivevale/Instances.Deregister/" + id, "{\"born\":" + born + "}");
        crash();
    }

    private void reportAgainAndAgain() {
        try {
            boolean reportedLead = false;
            long reportedNanos = 0;
            while (!isGone) {
                boolean isDue = System.nanoTime() - reportedNanos > BEAT_MILLIS * 1_000_000L;
                if (!isDown && (isDue || reportedLead != leads)) {
                    reportedLead = leads;
                    reportedNanos = System.nanoTime();
                    report();
                }
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one check-in; returns the status. */
    int report() {
        long number;
        synchronized (this) {
            number = ++sequence;
        }
        boolean saysDraining = isDraining;
        String body =
                String.format(
                        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                + "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                                + "\"warmup_left_ms\":0,\"db_role\":\"%s\",\"seq\":%d,\"born\":%d}",
                        group.service,
                        port,
                        zone,
                        SLOTS,
                        saysDraining ? "draining" : "ready",
                        leads ? "primary" : "replica",
                        number,
                        born);
        int status = deployment.call((int) number, "/chivevale/Instances.Heartbeat/" + id, body);
        if (status == 200 && saysDraining && drainAckedNanos == 0) {
            drainAckedNanos = System.nanoTime();
            group.record.log("%s: draining is acknowledged", id);
        } else if (status != 200) {
            group.record.log("%s: check-in %s -> %d", id, body, status);
        }
        return status;
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            new Connection(socket).run();
        } catch (IOException e) {
            // The peer or a crash has ended the connection, which rolls back.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    /** One connection: its transaction, session values and prepared statements. */
    private final class Connection {
        private final BufferedReader in;
        private final OutputStream out;
        private final Map<String, String> values = new HashMap<>();
        private final Map<String, String> prepared = new HashMap<>();
        private final Map<String, String> writes = new LinkedHashMap<>();
        private String tenant = "";
        private char state = 'I';
        private StringBuilder answer;

        Connection(Socket socket) throws IOException {
            in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            out = socket.getOutputStream();
        }

        void run() throws IOException, InterruptedException {
            String[] connect = readLine().split(" ", 4);
            boolean isAddressed =
                    connect[0].equals("CONNECT")
                            && connect[1].equals(group.service)
                            && (connect.length < 4 || connect[3].equals(id));
            answer = new StringBuilder();
            if (!isAddressed) {
                group.record.log("%s of %s: %s -> WRONGNODE", id, group.service, String.join(" ", connect));
                line("ERROR WRONGNODE " + id);
                flush();
                return;
            }
            tenant = connect.length > 2 ? connect[2] : "";
            ready();
            while (true) {
                String[] fields = readLine().split(" ", 3);
                if (fields[0].equals("QUIT")) {
                    return;
                }
                answer = new StringBuilder();
                query(fields[1], fields[2]);
                ready();
            }
        }

        private String readLine() throws IOException {
            String line = in.readLine();
            if (line == null) {
                throw new IOException("closed");
            }
            return line;
        }

        private void line(String text) {
            answer.append(text).append("\r\n");
        }

        private void ready() throws IOException {
            line("READY " + state + " " + position());
            flush();
        }

        private void flush() throws IOException {
            if (isDown) {
                throw new IOException("down");
            }
            out.write(answer.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private void query(String queryId, String text)
                throws InterruptedException {
            String[] words = text.split(" ", 2);
            String rest = words.length > 1 ? words[1] : "";
            if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
                line("ERROR MALFORMED the transaction has failed");
                return;
            }
            boolean isOwn = words[0].equals("STATUS") || words[0].equals("STEPDOWN");
            if (!isOwn && isFailing()) {
                group.record.log("%s: %s %s fails", id, queryId, text);
                line("ERROR FAILED " + id);
                return;
            }
            switch (words[0]) {
                case "STATUS" -> status();
                case "STEPDOWN" -> {
                    group.stepDown(Backend.this, Long.parseLong(rest));
                    line("ROW " + statusRow());
                    line("COMPLETE -");
                }
                case "SET" -> {
                    String[] value = rest.split(" ", 2);
                    values.put(value[0], value[1]);
                    line("COMPLETE -");
                }
                case "DISCARD" -> {
                    values.clear();
                    prepared.clear();
                    line("COMPLETE -");
                }
                case "PARSE" -> {
                    String[] names = rest.split(" ", 2);
                    prepared.put(names[0], names[1]);
                    line("COMPLETE -");
                }
                case "CLOSE" -> {
                    prepared.remove(rest);
                    line("COMPLETE -");
                }
                case "ROLLBACK" -> {
                    state = 'I';
                    writes.clear();
                    line("COMPLETE -");
                }
                default -> withSlot(() -> runStatement(queryId, text));
            }
        }

        private boolean isFailing() {
            synchronized (random) {
                return failingShare > 0 && random.nextDouble() < failingShare;
            }
        }

        private void withSlot(Work work) throws InterruptedException {
            if (queued.incrementAndGet() > QUEUE + SLOTS) {
                queued.decrementAndGet();
                line("ERROR BUSY " + id);
                return;
            }
            slots.acquire();
            try {
                work.run();
            } finally {
                slots.release();
                queued.decrementAndGet();
            }
        }

        private void status() {
            if (!slots.tryAcquire()) {
                group.record.log("%s: STATUS -> BUSY", id);
                line("ERROR BUSY " + id);
                return;
            }
            line("ROW " + statusRow());
            line("COMPLETE -");
            group.record.log("%s: STATUS -> %s", id, statusRow());
            slots.release();
        }

        private String statusRow() {
            return (leads ? "primary " : "replica ")
                    + heldTerm
                    + " "
                    + position()
                    + " "
                    + heldTerm
                    + " 0 "
                    + (SLOTS - slots.availablePermits())
                    + " "
                    + sockets.size();
        }

        private void runStatement(String queryId, String text)
                throws InterruptedException {
            String statement = text;
            if (text.startsWith("SINCE ")) {
                String[] since = text.split(" ", 3);
                statement = since[2];
                if (isBehind(since[1])) {
                    line("ERROR LAGGING " + id);
                    return;
                }
            }
            String[] words = statement.split(" ", 2);
            String rest = words.length > 1 ? words[1] : "";
            if (words[0].equals("EXECUTE")) {
                String[] call = rest.split(" ", 2);
                String shape = prepared.get(call[0]);
                if (shape == null) {
                    line("ERROR NOSTMT " + call[0]);
                    return;
                }
                words[0] = shape.split(" ", 2)[0];
                rest = call.length > 1 ? call[1] : "";
            }
            switch (words[0]) {
                case "BEGIN" -> begin(rest);
                case "READ" -> read(queryId, statement, rest);
                case "WRITE" -> write(queryId, statement, rest);
                case "COMMIT" -> commit(queryId);
                default -> line("ERROR MALFORMED " + words[0]);
            }
        }

        private void begin(String rest) {
            if (rest.isEmpty() && !leads) {
                line("ERROR READONLY " + id);
                return;
            }
            state = 'T';
            line("COMPLETE -");
        }

        private Run run(String queryId, String statement) {
            return new Run(queryId, statement, tenant, Map.copyOf(values), System.nanoTime());
        }

        private void read(String queryId, String statement, String item)
                throws InterruptedException {
            runs.add(run(queryId, statement));
            for (Map.Entry<String, Long> work : workMillis.entrySet()) {
                if (item.startsWith(work.getKey())) {
                    Thread.sleep(work.getValue());
                }
            }
            if (item.startsWith("report")) {
                for (int i = 0; i < reportRows; i++) {
                    line("ROW " + REPORT_ROW);
                }
            } else {
                line("ROW " + value(item));
            }
            line("COMPLETE mac." + queryId);
        }

        private void write(String queryId, String statement, String rest)
                throws InterruptedException {
            if (!leads) {
                state = state == 'T' ? 'E' : state;
                line("ERROR READONLY " + id);
                return;
            }
            runs.add(run(queryId, statement));
            String[] fields = rest.split(" ", 2);
            if (state == 'T') {
                writes.put(fields[0], fields[1]);
            } else if (group.commit(Backend.this, queryId, Map.of(fields[0], fields[1])) == null) {
                line("ERROR TIMEOUT " + id);
                return;
            }
            line("COMPLETE mac." + queryId);
        }

        private void commit(String queryId) throws InterruptedException {
            boolean isRolledBack = state == 'E';
            Map<String, String> committed = Map.copyOf(writes);
            writes.clear();
            state = 'I';
            if (isRolledBack) {
                line("ERROR ABORTED " + id);
                return;
            }
            boolean isLost =
                    !committed.isEmpty()
                            && group.commit(Backend.this, queryId, committed) == null;
            line(isLost ? "ERROR TIMEOUT " + id : "COMPLETE mac." + queryId);
        }
    }

    /** What a statement does while it holds a slot. */
    private interface Work {
        void run() throws InterruptedException;
    }

    private String value(String item) {
        synchronized (group) {
            for (int i = log.size() - 1; i >= 0; i--) {
                String found = log.get(i).writes().get(item);
                if (found != null) {
                    return found;
                }
            }
        }
        return "none";
    }

    String position() {
        synchronized (group) {
            return log.isEmpty() ? heldTerm + ".0" : log.get(log.size() - 1).position();
        }
    }

    private boolean isBehind(String since) {
        String[] wanted = since.split("\\.");
        String[] held = position().split("\\.");
        int terms = Long.compare(Long.parseLong(held[0]), Long.parseLong(wanted[0]));
        return terms < 0
                || terms == 0 && Long.parseLong(held[1]) < Long.parseLong(wanted[1]);
    }
}
