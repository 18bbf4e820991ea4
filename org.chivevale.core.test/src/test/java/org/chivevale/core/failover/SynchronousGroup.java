package org.chivevale.core.failover;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.chivevale.core.config.Database;
import org.chivevale.core.group.EndpointId;

/**
 * A group whose writes are acknowledged once the primary and one replica hold them, with members
 * that join, leave, crash, lag and are busy; plays random events up to the loss of the primary.
 *
 * <p>Members crash only after they have announced themselves: of one that never did, nobody knows.
 */
final class SynchronousGroup {
    static final EndpointId PRIMARY = new EndpointId("p");
    private static final int EVENTS = 60;
    private static final int MAX_REPLICAS = 5;

    /** Time after its start at which an endpoint has announced itself, also if one call is lost. */
    private static final long ANNOUNCED_MILLIS = 2500;

    private final SplittableRandom random;
    private final Map<EndpointId, Replica> replicas = new LinkedHashMap<>();
    private final AcknowledgedWrites reported = new AcknowledgedWrites();
    private long written;
    private long acknowledged;
    private int started;
    private long elapsedMillis;

    private static final class Replica {
        long position;
        boolean isUp = true;
        boolean isDeaf;
        boolean isAnnounced;
        boolean isMarkedLost;
        long answersAfterMillis;

        @Override
        public String toString() {
            return position
                    + (isUp ? "" : " down")
                    + (isDeaf ? " deaf" : "")
                    + (isAnnounced ? "" : " unannounced")
                    + (isMarkedLost ? " marked lost" : "")
                    + " answers after "
                    + answersAfterMillis;
        }
    }

    private SynchronousGroup(SplittableRandom random) {
        this.random = random;
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            startReplica().isAnnounced = true;
        }
    }

    static SynchronousGroup play(SplittableRandom random) {
        SynchronousGroup group = new SynchronousGroup(random);
        for (int event = random.nextInt(EVENTS); event > 0; event--) {
            group.playEvent();
        }
        return group;
    }

    private Replica startReplica() {
        Replica replica = new Replica();
        replica.position = written;
        replicas.put(new EndpointId("r" + ++started), replica);
        return replica;
    }

    private void playEvent() {
        if (replicas.isEmpty() || random.nextInt(3) > 0) {
            write();
            return;
        }
        EndpointId[] ids = replicas.keySet().toArray(EndpointId[]::new);
        EndpointId id = ids[random.nextInt(ids.length)];
        Replica replica = replicas.get(id);
        switch (random.nextInt(7)) {
            case 0 -> {
                if (replicas.size() < MAX_REPLICAS) {
                    startReplica();
                }
            }
            case 1 -> replica.isAnnounced |= replica.isUp;
            case 2 -> replica.isUp = !replica.isAnnounced;
            case 3 -> {
                replica.isUp = true;
                replica.isMarkedLost = false;
            }
            case 4 -> replica.isDeaf = !replica.isDeaf;
            case 5 -> leave(id, replica);
            default -> markLost(replica);
        }
    }

    private void write() {
        written++;
        for (Replica replica : replicas.values()) {
            if (replica.isUp && !replica.isDeaf) {
                replica.position = written;
                acknowledged = written;
            }
        }
        reported.report(1, acknowledged);
    }

    /** A replica leaves once the others have received what it has, or nothing was acknowledged. */
    private void leave(EndpointId id, Replica replica) {
        boolean isCovered =
                replicas.values().stream()
                        .anyMatch(other -> other != replica && other.position >= acknowledged);
        if (isCovered) {
            replicas.remove(id);
        }
    }

    /** Only a replica that has been down while the primary served for long is marked. */
    private void markLost(Replica replica) {
        if (!replica.isUp && replica.isAnnounced && replica.position < acknowledged) {
            replica.isMarkedLost = true;
        }
    }

    void losePrimary() {
        for (Replica replica : replicas.values()) {
            replica.answersAfterMillis = random.nextInt(4) > 0 ? 0 : random.nextInt(12_000);
        }
    }

    /** Lets the time since the fence reach a value. */
    void passTime(long millis) {
        for (Replica replica : replicas.values()) {
            replica.isAnnounced |= replica.isUp && millis >= ANNOUNCED_MILLIS;
        }
        elapsedMillis = millis;
    }

    Map<EndpointId, MemberPosition> answers() {
        Map<EndpointId, MemberPosition> answers = new HashMap<>();
        replicas.forEach(
                (id, replica) -> {
                    if (replica.isUp
                            && replica.isAnnounced
                            && elapsedMillis >= replica.answersAfterMillis) {
                        answers.put(id, new MemberPosition(id, false, 1, replica.position));
                    }
                });
        return answers;
    }

    WriteCoverage coverage(Database database) {
        int members = 1;
        for (Replica replica : replicas.values()) {
            members += replica.isAnnounced && !replica.isMarkedLost ? 1 : 0;
        }
        return new WriteCoverage(
                database.requiredPromotionResponses(members), reported.highest(1), members - 1);
    }

    long position(EndpointId member) {
        return replicas.get(member).position;
    }

    long acknowledged() {
        return acknowledged;
    }

    @Override
    public String toString() {
        return "acknowledged " + acknowledged + ", replicas " + replicas;
    }
}
