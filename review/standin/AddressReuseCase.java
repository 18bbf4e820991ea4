package review.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All processes are killed, the primary of a service is lost for good, and its address is used again
 * by a backend of another service.
 */
final class AddressReuseCase extends Scenario {
    private static final int CLIENTS = 6;
    private static final int CONTROLS = 3;
    private static final int PROXIES = 2;
    private static final long DOWN_MILLIS = 1400;
    private static final long ADDRESS_REUSE_MILLIS = 2000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long MEASURED_MILLIS = 10_000;

    /** False to see the same faults without another backend at the address. */
    private final boolean isAddressReused = !"0".equals(System.getenv("REUSE"));

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean isOver;

    public static void main(String[] args) {
        main(new AddressReuseCase(), args);
    }

    @Override
    int play() throws Exception {
        Group group = new Group("huvo11a", 0, record);
        Group other = new Group("kafi81c", 0, record);
        platform.groups.add(group);
        platform.groups.add(other);
        deployment.start(CONTROLS, PROXIES);
        List<Backend> backends = createBackends(group, "i-a");
        List<Backend> otherBackends = createBackends(other, "i-b");
        Configs config =
                new Configs()
                        .service(group.service, 39, 0)
                        .service(other.service, 39, 0)
                        .route("lepu270", "primary", group.service, 1000, 0)
                        .route("fiti832", "primary", other.service, 1000, 0)
                        .tenant("nypu920", "u6wsjnban");
        if (deployment.configure(config.build(1), 20) != 200) {
            return NOT_RUN;
        }
        for (Backend backend : backends) {
            backend.workMillis = Map.of("item", 8L);
            backend.start();
        }
        for (Backend backend : otherBackends) {
            backend.start();
        }
        if (!deployment.awaitReady(20)) {
            return NOT_RUN;
        }
        Thread.sleep(2000);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> write(number), "client-" + i);
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(1000);
        double before = measure(4000);
        if (before < 0.25) {
            record.say("too little was served before the final fault");
            return NOT_RUN;
        }
        if (deployment.configure(config.build(2), 5) != 200) {
            return NOT_RUN;
        }
        if (hasTrouble) {
            disturb(backends.get(0), other);
        }
        if (!deployment.awaitReady(30)) {
            record.say("the proxies are not ready again");
        }
        Thread.sleep(RECOVERY_MILLIS);
        double after = measure(MEASURED_MILLIS);
        isOver = true;
        Thread.sleep(500);
        record.say("promotions: %d", group.promotions.size());
        return after < 0.25 ? BROKEN : HELD;
    }

    private List<Backend> createBackends(Group group, String prefix) throws IOException {
        List<Backend> backends = new ArrayList<>();
        List<String> zones = List.copyOf(Deployment.ZONES.keySet());
        for (int i = 0; i < zones.size(); i++) {
            backends.add(new Backend(prefix + (i + 1), zones.get(i), group, deployment, i));
        }
        return backends;
    }

    /** The final fault, right after a configuration: all processes are killed; a primary is lost. */
    private void disturb(Backend primary, Group other) throws Exception {
        int port = primary.vanish();
        deployment.killAll();
        record.log("all processes are killed");
        Thread.sleep(DOWN_MILLIS);
        deployment.restartAll();
        Thread.sleep(ADDRESS_REUSE_MILLIS - DOWN_MILLIS);
        if (isAddressReused) {
            new Backend("i-b4", primary.zone, other, deployment, 9, port).start();
            record.log("i-b4 of %s starts at the address of %s", other.service, primary.id);
        }
    }

    private double measure(long millis) throws InterruptedException {
        sent.set(0);
        served.set(0);
        Thread.sleep(millis);
        int all = sent.get();
        double share = all == 0 ? 0 : (double) served.get() / all;
        record.say("requests: %d, served: %d (%.0f %%)", all, served.get(), 100 * share);
        return share;
    }

    private void write(int number) {
        while (!isOver) {
            try (Client client = new Client(deployment.connect(number % PROXIES), 3000)) {
                if (!client.open("lepu270", "u6wsjnban").startsWith("READY")) {
                    Thread.sleep(100);
                    continue;
                }
                while (!isOver) {
                    String id = Client.nextId();
                    sent.incrementAndGet();
                    Client.Answer answer = client.query(id, "WRITE item" + number + " " + id);
                    record.log("write %s -> %s", id, answer.error());
                    if (answer.isSuccess()) {
                        served.incrementAndGet();
                    }
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                record.log("client %d: %s", number, e);
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
