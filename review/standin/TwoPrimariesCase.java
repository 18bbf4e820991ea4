package review.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The primary crashes and is back soon, while the infrastructure is slow and carries out promotions
 * seconds after the calls.
 */
final class TwoPrimariesCase extends Scenario {
    private static final int WRITERS = 6;
    private static final long SLOW_MILLIS = 4000;
    private static final long DOWN_MILLIS = 2500;

    /** When each write was acknowledged to its client. */
    private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();

    private final AtomicInteger recentlyServed = new AtomicInteger();
    /** True for the variant in which the replicas receive nothing meanwhile. */
    private final boolean replicasLag = "1".equals(System.getenv("LAG"));

    private volatile boolean isOver;

    public static void main(String[] args) {
        main(new TwoPrimariesCase(), args);
    }

    @Override
    int play() throws Exception {
        Group group = new Group("huvo11a", 0, record);
        platform.groups.add(group);
        deployment.start(3, 3);
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
        for (int i = 0; i < WRITERS; i++) {
            int number = i;
            Thread client = new Thread(() -> write(number), "client-" + i);
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(3000);
        if (acknowledged.isEmpty()) {
            return NOT_RUN;
        }
        if (hasTrouble) {
            disturb(backends);
        } else {
            Thread.sleep(10_000);
        }
        Thread.sleep(8000);
        recentlyServed.set(0);
        Thread.sleep(4000);
        isOver = true;
        Thread.sleep(500);
        return judge(group);
    }

    /** The primary crashes for a short time while the infrastructure handles calls late. */
    private void disturb(List<Backend> backends) throws Exception {
        if (replicasLag) {
            disturbWithLag(backends);
            return;
        }
        platform.setSlow(SLOW_MILLIS);
        Thread.sleep(200);
        backends.get(0).crash();
        Thread.sleep(DOWN_MILLIS);
        backends.get(0).restart();
        Thread.sleep(12_000);
        platform.setSlow(0);
    }

    /** The same with replicas that receive nothing, so that the old primary is reinstated. */
    private void disturbWithLag(List<Backend> backends) throws Exception {
        record.log("i-b1 and i-c1 receive nothing");
        backends.get(1).isDeaf = true;
        backends.get(2).isDeaf = true;
        platform.hold(true);
        Thread.sleep(200);
        backends.get(0).crash();
        Thread.sleep(2000);
        backends.get(0).restart();
        Thread.sleep(4000);
        platform.hold(false);
        Thread.sleep(800);
        backends.get(1).isDeaf = false;
        backends.get(2).isDeaf = false;
        record.log("i-b1 and i-c1 receive again");
        Thread.sleep(3000);
    }

    private int judge(Group group) {
        int atOldPrimary = 0;
        for (Group.Commit commit : group.commits) {
            Group.Promotion last = null;
            for (Group.Promotion promotion : group.promotions) {
                last = promotion.atNanos() - commit.atNanos() < 0 ? promotion : last;
            }
            boolean isOld = last != null && !last.backend().equals(commit.backend());
            if (isOld && acknowledged.containsKey(commit.id())) {
                atOldPrimary++;
                record.log(
                        "write %s committed at %s %.3f s after %s was promoted, and acknowledged",
                        commit.id(),
                        commit.backend(),
                        (commit.atNanos() - last.atNanos()) / 1e9,
                        last.backend());
            }
        }
        record.say("acknowledged writes: %d", acknowledged.size());
        record.say("promotions: %s", group.promotions.stream().map(Group.Promotion::backend).toList());
        record.say("writes committed at the old primary and acknowledged: %d", atOldPrimary);
        record.say("writes served in the last 4 s: %d", recentlyServed.get());
        return atOldPrimary > 0 ? BROKEN : HELD;
    }

    private void write(int number) {
        while (!isOver) {
            try (Client client = new Client(deployment.connect(number % 3), 3000)) {
                if (!client.open("lepu270", "u6wsjnban").startsWith("READY")) {
                    Thread.sleep(100);
                    continue;
                }
                while (!isOver) {
                    String id = Client.nextId();
                    Client.Answer answer = client.query(id, "WRITE item" + number + " " + id);
                    record.log("write %s -> %s", id, answer.error());
                    if (answer.isSuccess()) {
                        acknowledged.put(id, System.nanoTime());
                        recentlyServed.incrementAndGet();
                    }
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
