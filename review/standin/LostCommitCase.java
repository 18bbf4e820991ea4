package review.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The primary of a service with one synchronous replica crashes while one of its replicas is being
 * replaced and two of the four backends receive nothing.
 */
final class LostCommitCase extends Scenario {
    private static final int WRITERS = 6;
    private static final int READERS = 10;
    private static final long DEAF_MILLIS = 6000;
    private static final long WORK_MILLIS = 120;

    /** When each write was acknowledged to its client. */
    private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();

    private volatile boolean isOver;

    public static void main(String[] args) {
        main(new LostCommitCase(), args);
    }

    @Override
    int play() throws Exception {
        Group group = new Group("huvo11a", 1, record);
        platform.groups.add(group);
        deployment.start(3, 2);
        List<Backend> backends = new ArrayList<>();
        backends.add(new Backend("i-a1", "marmara-a", group, deployment, 1));
        backends.add(new Backend("i-a2", "marmara-a", group, deployment, 2));
        backends.add(new Backend("i-b1", "ege-a", group, deployment, 3));
        Backend replacement = new Backend("i-c1", "ic-anadolu-a", group, deployment, 4);
        String config =
                new Configs()
                        .service(group.service, 39, 1)
                        .route("lepu270", "primary", group.service, 1000, 0)
                        .route("xapu221", "bounded", group.service, 2000, 1500)
                        .tenant("nypu920", "u6wsjnban")
                        .build(1);
        if (deployment.configure(config, 20) != 200) {
            return NOT_RUN;
        }
        for (Backend backend : backends) {
            backend.workMillis = Map.of("long", WORK_MILLIS);
            backend.start();
        }
        if (!deployment.awaitReady(20)) {
            return NOT_RUN;
        }
        Thread.sleep(2000);
        start(WRITERS, this::write);
        start(READERS, this::read);
        Thread.sleep(2000);
        replacement.workMillis = Map.of("long", WORK_MILLIS);
        replacement.start();
        backends.add(replacement);
        Thread.sleep(2000);
        Backend leaving = backends.get(2);
        leaving.isDraining = true;
        leaving.report();
        Thread.sleep(1000);
        if (acknowledged.isEmpty()) {
            record.say("no write was acknowledged before the crash");
            return NOT_RUN;
        }
        if (hasTrouble) {
            crashPrimary(backends);
        } else {
            Thread.sleep(8000);
        }
        isOver = true;
        Thread.sleep(1000);
        return judge(group);
    }

    /** The disruption: two replicas receive nothing, and the primary crashes meanwhile. */
    private void crashPrimary(List<Backend> backends) throws Exception {
        record.log("i-b1 and i-c1 receive nothing");
        backends.get(2).isDeaf = true;
        backends.get(3).isDeaf = true;
        Thread.sleep(1500);
        backends.get(0).crash();
        Thread.sleep(DEAF_MILLIS - 1500);
        backends.get(2).isDeaf = false;
        backends.get(3).isDeaf = false;
        record.log("i-b1 and i-c1 receive again");
        Thread.sleep(500);
        backends.get(0).restart();
        Thread.sleep(3000);
    }

    private int judge(Group group) {
        record.say("acknowledged writes: %d", acknowledged.size());
        int lost = 0;
        for (Group.Promotion promotion : group.promotions) {
            int lacking = 0;
            for (Map.Entry<String, Long> write : acknowledged.entrySet()) {
                boolean isEarlier = write.getValue() - promotion.atNanos() < 0;
                if (isEarlier && !promotion.held().contains(write.getKey())) {
                    lacking++;
                    record.log(
                            "acknowledged write %s is not in the log of %s",
                            write.getKey(),
                            promotion.backend());
                }
            }
            record.say(
                    "promoted to term %d: %s; acknowledged writes that its log lacks: %d",
                    promotion.term(),
                    promotion.backend(),
                    lacking);
            lost += lacking;
        }
        return lost > 0 ? BROKEN : HELD;
    }

    private void start(int count, SessionBody body) {
        for (int i = 0; i < count; i++) {
            int number = i;
            Thread thread = new Thread(() -> repeat(number, body), "client-" + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private interface SessionBody {
        void run(int number) throws IOException, InterruptedException;
    }

    private void repeat(int number, SessionBody body) {
        while (!isOver) {
            try {
                body.run(number);
                Thread.sleep(100);
            } catch (IOException e) {
                record.log("client %d: %s", number, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void write(int number) throws IOException, InterruptedException {
        try (Client client = new Client(deployment.connect(number % 2), 3000)) {
            if (!client.open("lepu270", "u6wsjnban").startsWith("READY")) {
                return;
            }
            while (!isOver) {
                String id = Client.nextId();
                Client.Answer answer = client.query(id, "WRITE item" + number + " v" + id);
                record.log("write %s -> %s %s", id, answer.error(), answer.position());
                if (answer.isSuccess()) {
                    acknowledged.put(id, System.nanoTime());
                }
                Thread.sleep(20);
            }
        }
    }

    private void read(int number) throws IOException, InterruptedException {
        try (Client client = new Client(deployment.connect(number % 2), 5000)) {
            if (!client.open("xapu221", "u6wsjnban").startsWith("READY")) {
                return;
            }
            while (!isOver) {
                client.query("READ long" + number);
                Thread.sleep(5);
            }
        }
    }
}
