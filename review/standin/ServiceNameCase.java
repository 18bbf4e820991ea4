package review.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A configuration adds a service; later a primary of another service is replaced as planned. */
final class ServiceNameCase extends Scenario {
    private static final long DRAIN_PERIOD_NANOS = 7_000_000_000L;
    private static final long DRAIN_MILLIS = 12_000;

    /** Lower-case letters, digits and hyphens, as in the names on the pages; 55 letters long. */
    private static final String LONG_NAME =
            "atolye-db-siparis-ve-gravur-kayitlari-marmara-bolgesi-1";

    private static final String SHORT_NAME = "atolye-db-siparis-1";

    private volatile boolean isOver;

    public static void main(String[] args) {
        main(new ServiceNameCase(), args);
    }

    @Override
    int play() throws Exception {
        String added = hasTrouble ? LONG_NAME : SHORT_NAME;
        Group group = new Group("huvo11a", 0, record);
        platform.groups.add(group);
        deployment.start(3, 2);
        List<Backend> backends = startBackends(group, "i-a");
        Configs config =
                new Configs()
                        .service(group.service, 39, 0)
                        .route("lepu270", "primary", group.service, 1000, 0)
                        .tenant("nypu920", "u6wsjnban");
        if (deployment.configure(config.build(1), 20) != 200) {
            return NOT_RUN;
        }
        backends.forEach(backend -> backend.workMillis = Map.of("item", 8L));
        if (!deployment.awaitReady(20)) {
            return NOT_RUN;
        }
        Thread.sleep(3000);
        Group other = new Group(added, 0, record);
        platform.groups.add(other);
        startBackends(other, "i-b");
        config.service(added, 39, 0).route("fiti832", "primary", added, 1000, 0);
        int status = deployment.configure(config.build(2), 10);
        record.say("config with service %s: %d", added, status);
        if (status != 200) {
            return HELD;
        }
        Thread.sleep(4000);
        record.say("a write on the route to %s: %s", added, writeOnNewRoute());
        for (int i = 0; i < 4; i++) {
            int number = i;
            Thread client = new Thread(() -> write(number), "client-" + i);
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(1000);
        Backend leaving = backends.get(0);
        Backend replacement = new Backend("i-a4", "marmara-a", group, deployment, 9).start();
        Thread.sleep(1500);
        leaving.isDraining = true;
        leaving.report();
        Thread.sleep(DRAIN_MILLIS);
        leaving.leave();
        long leftNanos = System.nanoTime();
        Thread.sleep(8000);
        isOver = true;
        Thread.sleep(500);
        return judge(leaving, group, leftNanos);
    }

    private List<Backend> startBackends(Group group, String prefix) throws IOException {
        List<Backend> backends = new ArrayList<>();
        List<String> zones = List.copyOf(Deployment.ZONES.keySet());
        for (int i = 0; i < zones.size(); i++) {
            backends.add(new Backend(prefix + (i + 1), zones.get(i), group, deployment, i).start());
        }
        return backends;
    }

    private String writeOnNewRoute() {
        try (Client client = new Client(deployment.connect(0), 3000)) {
            String greeting = client.open("fiti832", "u6wsjnban");
            if (!greeting.startsWith("READY")) {
                return greeting;
            }
            String error = client.query("WRITE item1 first").error();
            return error == null ? "done" : error;
        } catch (IOException e) {
            return e.toString();
        }
    }

    private int judge(Backend leaving, Group group, long leftNanos) {
        long late =
                leaving.runs.stream()
                        .filter(
                                run ->
                                        run.atNanos() - leaving.drainAckedNanos
                                                > DRAIN_PERIOD_NANOS)
                        .count();
        long afterwards =
                group.backends.stream()
                        .flatMap(backend -> backend.runs.stream())
                        .filter(run -> run.atNanos() - leftNanos > 1_000_000_000L)
                        .count();
        record.say("draining acknowledged: %b", leaving.drainAckedNanos != 0);
        record.say("requests at the draining primary later than 7 s after that: %d", late);
        record.say("promotions: %d", group.promotions.size());
        record.say("writes run from 1 s after it has left: %d", afterwards);
        if (leaving.drainAckedNanos == 0) {
            return NOT_RUN;
        }
        return late > 0 ? BROKEN : HELD;
    }

    private void write(int number) {
        while (!isOver) {
            try (Client client = new Client(deployment.connect(number % 2), 3000)) {
                if (!client.open("lepu270", "u6wsjnban").startsWith("READY")) {
                    Thread.sleep(100);
                    continue;
                }
                while (!isOver) {
                    String id = Client.nextId();
                    Client.Answer answer = client.query(id, "WRITE item" + number + " " + id);
                    record.log("write %s -> %s", id, answer.error());
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                record.log("client %d: %s", number, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
