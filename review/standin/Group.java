package review.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * One service: its backends, their logs, and how commits reach the replicas.
 *
 * <p>Each commit gets the next number. It is sent to each replica at once and arrives after the
 * delay of the network; a replica that is deaf fetches what it has missed afterwards. All state is
 * guarded by this object.
 */
final class Group {
    private static final long NEAR_DELAY_MICROS = 500;
    private static final long FAR_DELAY_MICROS = 8_000;
    private static final long FETCH_INTERVAL_MILLIS = 20;
    private static final long FOLLOW_DELAY_MILLIS = 1000;
    private static final long SYNC_TIMEOUT_NANOS = 10_000_000_000L;

    /** One commit, with the backend that made it and when. */
    record Commit(
            long term,
            long number,
            String id,
            Map<String, String> writes,
            String backend,
            long atNanos) {
        String position() {
            return term + "." + number;
        }
    }

    /** A promotion that has taken effect, with the commits that the backend held then. */
    record Promotion(String backend, long term, Set<String> held, long atNanos) {}

    final String service;
    final int syncReplicas;
    final Record record;
    final List<Backend> backends = new ArrayList<>();
    final List<Promotion> promotions = new CopyOnWriteArrayList<>();

    /** All commits that a backend has made, also those that were rolled back later. */
    final List<Commit> commits = new CopyOnWriteArrayList<>();

    private final ScheduledExecutorService network =
            Executors.newScheduledThreadPool(
                    4,
                    task -> {
                        Thread thread = new Thread(task, "network");
                        thread.setDaemon(true);
                        return thread;
                    });
    private Backend primary;
    private long term = 1;

    Group(String service, int syncReplicas, Record record) {
        this.service = service;
        this.syncReplicas = syncReplicas;
        this.record = record;
        network.scheduleWithFixedDelay(
                this::fetchMissed, 0, FETCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    synchronized void add(Backend backend) {
        backends.add(backend);
        if (primary == null) {
            primary = backend;
            backend.leads = true;
            backend.heldTerm = term;
        } else {
            backend.log.addAll(primary.log);
            backend.heldTerm = term;
        }
    }

    synchronized Backend primary() {
        return primary;
    }

    /** Appends a commit at a backend that leads; null when it has lost the lead. */
    Commit commit(Backend at, String id, Map<String, String> writes) throws InterruptedException {
        Commit added;
        synchronized (this) {
            if (!at.leads || at.isDown) {
                return null;
            }
            long number = at.log.isEmpty() ? 1 : at.log.get(at.log.size() - 1).number() + 1;
            added =
                    new Commit(at.heldTerm, number, id, writes, at.id, System.nanoTime());
            commits.add(added);
            at.log.add(added);
            for (Backend replica : backends) {
                if (replica != at) {
                    long delay =
                            replica.zone.equals(at.zone) ? NEAR_DELAY_MICROS : FAR_DELAY_MICROS;
                    network.schedule(() -> receive(at, replica), delay, TimeUnit.MICROSECONDS);
                }
            }
        }
        return syncReplicas == 0 || awaitReceived(at, added) ? added : null;
    }

    private synchronized boolean awaitReceived(Backend at, Commit commit)
            throws InterruptedException {
        long endNanos = System.nanoTime() + SYNC_TIMEOUT_NANOS;
        while (!at.isDown && at.leads && System.nanoTime() < endNanos) {
            long holders =
                    backends.stream()
                            .filter(replica -> replica != at && replica.log.contains(commit))
                            .count();
            if (holders >= syncReplicas) {
                return true;
            }
            wait(5);
        }
        return false;
    }

    /** Brings a replica to the log that its primary has now. */
    private synchronized void receive(Backend from, Backend replica) {
        boolean isOpen =
                from.leads
                        && !from.isDown
                        && !replica.isDown
                        && !replica.isDeaf
                        && !replica.leads
                        && replica.heldTerm <= from.heldTerm;
        if (!isOpen) {
            return;
        }
        replica.heldTerm = from.heldTerm;
        int same = 0;
        while (same < replica.log.size()
                && same < from.log.size()
                && replica.log.get(same).equals(from.log.get(same))) {
            same++;
        }
        while (replica.log.size() > same) {
            replica.log.remove(replica.log.size() - 1);
        }
        replica.log.addAll(from.log.subList(same, from.log.size()));
        notifyAll();
    }

    private void fetchMissed() {
        Backend from;
        List<Backend> all;
        synchronized (this) {
            from = primary;
            all = List.copyOf(backends);
        }
        for (Backend replica : all) {
            if (from != null && replica != from) {
                receive(from, replica);
            }
        }
    }

    /** Makes a backend lead the next term with what it has received. */
    synchronized int promote(String id) {
        for (Backend backend : backends) {
            if (!backend.id.equals(id)) {
                continue;
            }
            if (backend.isDown) {
                return 409;
            }
            if (backend != primary) {
                Backend replaced = primary;
                term++;
                primary = backend;
                backend.heldTerm = term;
                backend.leads = true;
                Set<String> held =
                        backend.log.stream().map(Commit::id).collect(Collectors.toSet());
                promotions.add(new Promotion(id, term, held, System.nanoTime()));
                record.log(
                        "promoted %s to term %d with %d commits", id, term, backend.log.size());
                network.schedule(
                        () -> follow(replaced), FOLLOW_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
            return 200;
        }
        return 409;
    }

    /** A primary that was replaced becomes a replica a second after it can reach the new one. */
    private synchronized void follow(Backend replaced) {
        if (replaced != primary && replaced.leads && !replaced.isDown) {
            replaced.leads = false;
            record.log("%s follows %s", replaced.id, primary.id);
        }
    }

    synchronized void stepDown(Backend backend, long below) {
        if (backend.leads && backend.heldTerm < below) {
            backend.leads = false;
            record.log("%s has stepped down", backend.id);
        }
    }

    /** A backend that crashed comes back as a replica if another was promoted. */
    synchronized void onRestart(Backend backend) {
        backend.leads = backend == primary;
    }
}
