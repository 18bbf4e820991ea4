package org.chivevale.consensus.raft;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.FormationState;
import org.chivevale.wire.proto.Participants;
import org.chivevale.wire.proto.StoredEntry;

/**
 * Decides when a member whose log has no changes becomes an initial voter of a new one.
 *
 * <p>All initial voters share a store id, by which the others know them before they have heard from
 * them. A member is eligible if its folder has been in use since the first start, so that no
 * earlier folder at its address can have voted under that id. Invariants: an eligible member
 * becomes a voter once all initial voters are eligible, or a majority of them has been for a while
 * in which nobody has shown a leader or a log with changes; a member that is not eligible, since
 * its folder may replace a lost one, becomes eligible only if no majority is, the initial voters
 * are a majority of the wanted ones, and all of them have been without changes for that while, in
 * which nobody has shown a leader or changes either. Not thread safe.
 */
final class Formation {
    /**
     * How long other seeds may be silent before a log is formed without them. A member that holds a
     * log contacts the seeds several times in that while.
     */
    static final long PATIENCE_NANOS = 4_000_000_000L;

    /** Store id that all initial voters share. */
    private static final String STORE_ID = "first";

    /** Members without a log ask each other many times in that while. */
    private static final long ANSWER_VALID_NANOS = 1_000_000_000;

    /** What the member does next. */
    enum Step {
        WAIT,
        BECOME_ELIGIBLE,
        BECOME_VOTER
    }

    private record Answer(boolean isEligible, long receivedNanos) {}

    private final TreeSet<String> addresses = new TreeSet<>();
    private final String self;
    private final Map<String, Answer> answers = new HashMap<>();
    private final Condition hasMajority = new Condition();
    private final Condition isFirstStart = new Condition();
    private final int wantedVoters;
    private long newestTerm;

    /** A condition, and since when it has held. */
    private static final class Condition {
        private boolean holds;
        private long sinceNanos;

        void set(boolean nowHolds, long nowNanos) {
            if (nowHolds && !holds) {
                sinceNanos = nowNanos;
            }
            holds = nowHolds;
        }

        boolean hasHeldFor(long nanos, long nowNanos) {
            return holds && nowNanos - sinceNanos >= nanos;
        }
    }

    /**
     * Begins a formation.
     *
     * @param voters addresses of the initial voters, this member's among them
     * @param self address of this member
     * @param wantedVoters number of voters that the log is to have
     */
    Formation(List<HostPort> voters, HostPort self, int wantedVoters) {
        this.wantedVoters = wantedVoters;
        voters.forEach(voter -> addresses.add(voter.toString()));
        this.self = self.toString();
    }

    /** Returns the initial voter at an address. */
    static MemberId initialVoter(HostPort address) {
        return new MemberId(address, STORE_ID);
    }

    /** Returns the first entry of the new log, the same for all initial voters. */
    StoredEntry initialEntry() {
        Participants.Builder voters = Participants.newBuilder();
        for (String address : addresses) {
            voters.addVoters(initialVoter(HostPort.parse(address)).toString());
        }
        return StoredEntry.newBuilder().setIndex(1).setTerm(0).setParticipants(voters).build();
    }

    /** Returns the addresses of the initial voters, sorted. */
    List<String> addresses() {
        return List.copyOf(addresses);
    }

    /** Returns the newest term of any member that has answered. */
    long newestTerm() {
        return newestTerm;
    }

    /** Counts the answer of a member whose log has no changes, if it would form the same one. */
    void onAnswer(HostPort from, FormationState state, long term, long nowNanos) {
        if (state.getVotersList().equals(addresses())) {
            newestTerm = Math.max(newestTerm, term);
            answers.put(from.toString(), new Answer(state.getEligible(), nowNanos));
        }
    }

    /**
     * Returns what the member does next.
     *
     * @param isEligible whether this member is eligible
     * @param logSeenLately whether a member has shown a leader or a log with changes in the last
     *     {@link #PATIENCE_NANOS}
     * @param nowNanos the current time
     */
    Step next(boolean isEligible, boolean logSeenLately, long nowNanos) {
        answers.values().removeIf(answer -> nowNanos - answer.receivedNanos() > ANSWER_VALID_NANOS);
        answers.put(self, new Answer(isEligible, nowNanos));
        long present = addresses.stream().filter(answers::containsKey).count();
        long eligible = addresses.stream().filter(this::isEligible).count();
        boolean all = present == addresses.size();
        boolean majority = eligible * 2 > addresses.size();
        hasMajority.set(majority && !logSeenLately, nowNanos);
        boolean mayBeFirstStart = hasQuorum() && (!majority || isFirstStart.holds);
        isFirstStart.set(all && !logSeenLately && mayBeFirstStart, nowNanos);
        if (!isEligible) {
            return isFirstStart.hasHeldFor(PATIENCE_NANOS, nowNanos)
                    ? Step.BECOME_ELIGIBLE
                    : Step.WAIT;
        }
        boolean allEligible = eligible == addresses.size() && !logSeenLately;
        return allEligible || hasMajority.hasHeldFor(PATIENCE_NANOS, nowNanos)
                ? Step.BECOME_VOTER
                : Step.WAIT;
    }

    /**
     * True if one of the initial voters at least has each change that a log has acknowledged; a few
     * seeds of a larger log may all have lost their folders.
     */
    private boolean hasQuorum() {
        return addresses.size() * 2 > wantedVoters;
    }

    private boolean isEligible(String address) {
        Answer answer = answers.get(address);
        return answer != null && answer.isEligible();
    }

    /** Returns true once all initial voters are known to be eligible. */
    boolean isComplete() {
        return addresses.stream().allMatch(this::isEligible);
    }

    /** Describes whom this member waits for. */
    @Override
    public String toString() {
        List<String> silent = addresses.stream().filter(one -> !answers.containsKey(one)).toList();
        List<String> empty =
                addresses.stream()
                        .filter(one -> answers.containsKey(one) && !isEligible(one))
                        .toList();
        return "silent " + silent + ", without a folder of the first start " + empty;
    }
}
