package review.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** A backend fails part of its requests, also SET and DISCARD, while its health probe is good. */
final class SessionValuesCase extends Scenario {
    private static final int CLIENTS = 12;
    private static final double FAILING_SHARE = 0.4;
    private static final long FAILING_MILLIS = 8000;
    private static final double WRITE_SHARE = 0.2;
    private static final String NAME = "locale";

    /** The session values that were acknowledged to its client, for each statement sent. */
    private final Map<String, Map<String, String>> expected = new ConcurrentHashMap<>();

    private volatile boolean isOver;

    public static void main(String[] args) {
        main(new SessionValuesCase(), args);
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
                        .route("lepu270", "primary", group.service, 1000, 0)
                        .tenant("nypu920", "u6wsjnban")
                        .build(1);
        if (deployment.configure(config, 20) != 200) {
            return NOT_RUN;
        }
        for (Backend backend : backends) {
            backend.workMillis = Map.of("item", 8L);
            backend.start();
        }
        if (!deployment.awaitReady(20)) {
            return NOT_RUN;
        }
        Thread.sleep(2000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> useSessions(number), "client-" + i);
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        Thread.sleep(3000);
        if (hasTrouble) {
            record.log("i-a1 fails %s of its requests", FAILING_SHARE);
            backends.get(0).failingShare = FAILING_SHARE;
        }
        Thread.sleep(FAILING_MILLIS);
        backends.get(0).failingShare = 0;
        record.log("i-a1 fails no more requests");
        Thread.sleep(2000);
        isOver = true;
        Thread.sleep(1500);
        return judge(backends);
    }

    private int judge(List<Backend> backends) {
        int ran = 0;
        int wrong = 0;
        int wrongWrites = 0;
        for (Backend backend : backends) {
            for (Backend.Run run : backend.runs) {
                Map<String, String> values = expected.get(run.id());
                if (values == null) {
                    continue;
                }
                ran++;
                if (!values.equals(run.values())) {
                    wrong++;
                    wrongWrites += run.text().startsWith("WRITE") ? 1 : 0;
                    record.log(
                            "%s ran %s %s with session values %s; its client has set %s",
                            backend.id, run.id(), run.text(), run.values(), values);
                }
            }
        }
        record.say("statements run: %d; with other session values: %d", ran, wrong);
        record.say("of these, writes that were committed: %d", wrongWrites);
        if (ran == 0) {
            return NOT_RUN;
        }
        return wrong > 0 ? BROKEN : HELD;
    }

    private void useSessions(int number) {
        while (!isOver) {
            try (Client client = new Client(deployment.connect(number % 2), 3000)) {
                useSession(client, number);
            } catch (IOException e) {
                record.log("client %d: %s", number, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** One session: sets a value, then reads; it opens another after an error. */
    private void useSession(Client client, int number) throws IOException, InterruptedException {
        if (!client.open("lepu270", "u6wsjnban").startsWith("READY")) {
            Thread.sleep(100);
            return;
        }
        Random random = new Random(number);
        String value = "v" + number;
        Client.Answer set = client.query("SET " + NAME + " " + value);
        if (!set.isSuccess()) {
            return;
        }
        while (!isOver) {
            String id = Client.nextId();
            expected.put(id, Map.of(NAME, value));
            boolean isWrite = random.nextDouble() < WRITE_SHARE;
            String text = isWrite ? "WRITE item" + number + " " + id : "READ item" + number;
            Client.Answer answer = client.query(id, text);
            record.log("client %d: %s %s -> %s", number, id, text, answer.error());
            Thread.sleep(30);
        }
    }
}
