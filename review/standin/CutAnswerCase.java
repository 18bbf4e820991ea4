package review.standin;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** A proxy is stopped with SIGTERM while clients read reports of many rows. */
final class CutAnswerCase extends Scenario {
    private static final int CLIENTS = 3;
    private static final int ROWS = Integer.parseInt(System.getenv().getOrDefault("ROWS", "60"));
    private static final int WINDOW_BYTES = 32 * 1024;
    private static final int GRACE_SECONDS = 6;

    /** A request whose connection ended without a complete answer. */
    private record Cut(String id, long sentNanos, long endedNanos, String why) {}

    private final Queue<Cut> cuts = new ConcurrentLinkedQueue<>();
    private final Queue<String> answered = new ConcurrentLinkedQueue<>();
    private volatile boolean isOver;

    public static void main(String[] args) {
        main(new CutAnswerCase(), args);
    }

    @Override
    int play() throws Exception {
        Group group = new Group("huvo11a", 0, record);
        platform.groups.add(group);
        deployment.start(3, 2);
        List<Backend> backends = new ArrayList<>();
        backends.add(new Backend("i-a1", "marmara-a", group, deployment, 1));
        backends.add(new Backend("i-b1", "ege-a", group, deployment, 2));
        backends.add(new Backend("i-c1", "ic-anadolu-a", group, deployment, 3));
        String config =
                new Configs()
                        .service(group.service, 39, 0)
                        .route("xapu221", "bounded", group.service, 2000, 1500)
                        .tenant("nypu920", "u6wsjnban")
                        .build(1);
        if (deployment.configure(config, 20) != 200) {
            return NOT_RUN;
        }
        for (Backend backend : backends) {
            backend.reportRows = ROWS;
            backend.start();
        }
        if (!deployment.awaitReady(20)) {
            return NOT_RUN;
        }
        Thread.sleep(3000);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> useSessions(number), "client-" + i);
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(6000);
        Process stopped = deployment.proxies.get(0);
        long stopNanos = System.nanoTime();
        if (hasTrouble) {
            record.log("SIGTERM to proxy-0");
            stopped.destroy();
            boolean hasEnded = stopped.waitFor(GRACE_SECONDS, TimeUnit.SECONDS);
            record.say(
                    "proxy-0 ended: %b, %.1f s after SIGTERM",
                    hasEnded,
                    (System.nanoTime() - stopNanos) / 1e9);
        } else {
            Thread.sleep(5000);
        }
        isOver = true;
        Thread.sleep(2500);
        return judge(backends, stopNanos);
    }

    private int judge(List<Backend> backends, long stopNanos) {
        Set<String> ran = new HashSet<>();
        backends.forEach(backend -> backend.runs.forEach(run -> ran.add(run.id())));
        int lost = 0;
        for (Cut cut : cuts) {
            double sentSeconds = (cut.sentNanos() - stopNanos) / 1e9;
            double endedSeconds = (cut.endedNanos() - stopNanos) / 1e9;
            boolean isPassedOn = ran.contains(cut.id());
            record.log(
                    "request %s: sent %.3f s, cut %.3f s after SIGTERM, passed on %b: %s",
                    cut.id(), sentSeconds, endedSeconds, isPassedOn, cut.why());
            boolean isPlanned = endedSeconds > 0 && endedSeconds < GRACE_SECONDS + 1;
            lost += isPassedOn && isPlanned ? 1 : 0;
        }
        record.say("reports answered in full: %d", answered.size());
        record.say("requests passed on and cut without a complete answer: %d", lost);
        if (answered.isEmpty()) {
            return NOT_RUN;
        }
        return lost > 0 ? BROKEN : HELD;
    }

    private void useSessions(int number) {
        while (!isOver && deployment.proxies.get(0).isAlive()) {
            try (Client client = connect()) {
                if (client.open("xapu221", "u6wsjnban").startsWith("READY")) {
                    useSession(client, number);
                }
                Thread.sleep(50);
            } catch (IOException e) {
                record.log("client %d: %s", number, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Client connect() throws IOException {
        Socket socket = deployment.connectWithWindow(0, WINDOW_BYTES);
        return new Client(socket, 4000, new Paced(socket.getInputStream()));
    }

    /** A link of limited bandwidth. */
    private static final class Paced extends FilterInputStream {
        private static final int CHUNK_BYTES = 16 * 1024;

        Paced(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = super.read(bytes, offset, Math.min(length, CHUNK_BYTES));
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return count;
        }
    }

    private void useSession(Client client, int number) throws IOException, InterruptedException {
        while (!isOver) {
            String id = Client.nextId();
            long sentNanos = System.nanoTime();
            try {
                Client.Answer answer = client.query(id, "READ report" + number);
                record.log("%s -> %s, %d rows", id, answer.error(), answer.rows().size());
                if (!answer.isSuccess()) {
                    return;
                }
                answered.add(id);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                cuts.add(new Cut(id, sentNanos, System.nanoTime(), e.toString()));
                throw e;
            }
            Thread.sleep(100);
        }
    }
}
