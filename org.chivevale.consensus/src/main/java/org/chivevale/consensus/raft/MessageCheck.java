package org.chivevale.consensus.raft;

import java.util.List;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.wire.proto.AppendAnswer;
import org.chivevale.wire.proto.AppendRequest;
import org.chivevale.wire.proto.Participants;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;
import org.chivevale.wire.proto.VoteRequest;

/**
 * Tells messages that no member can have sent from those that may be handled.
 *
 * <p>Invariant: a message that passes names members that can be parsed, terms and indexes in range,
 * and entries that follow each other. Stateless and thread safe.
 */
final class MessageCheck {
    /** Half of the range, so that a term or index that passes can be increased. */
    static final long MAX_NUMBER = Long.MAX_VALUE / 2;

    private MessageCheck() {}

    /**
     * Finds what is wrong with a message.
     *
     * @param message the message
     * @param lastIndex index of the last entry of the receiver's log if it leads, which bounds what
     *     others can have; otherwise {@link #MAX_NUMBER}
     * @return the reason to drop it, or null
     */
    static String findFault(RaftMessage message, long lastIndex) {
        if (!isMember(message.getFrom())) {
            return "sender '" + message.getFrom() + "' is no member";
        }
        if (!isInRange(message.getTerm())) {
            return "term " + message.getTerm() + " is out of range";
        }
        boolean isSane =
                switch (message.getBodyCase()) {
                    case VOTE_REQUEST -> isSane(message.getVoteRequest());
                    case APPEND_REQUEST -> isSane(message.getAppendRequest(), message.getTerm());
                    case APPEND_ANSWER -> isSane(message.getAppendAnswer(), lastIndex);
                    case SNAPSHOT_REQUEST ->
                            isSane(message.getSnapshotRequest().getSnapshot(), message.getTerm());
                    case JOIN_ANSWER -> {
                        String leader = message.getJoinAnswer().getLeader();
                        yield leader.isEmpty() || isMember(leader);
                    }
                    case VOTE_ANSWER, LEADERSHIP_OFFER, JOIN_REQUEST -> true;
                    default -> false;
                };
        return isSane ? null : "content of " + message.getBodyCase() + " is out of range";
    }

    private static boolean isSane(VoteRequest request) {
        return isInRange(request.getLastIndex()) && isInRange(request.getLastTerm());
    }

    private static boolean isSane(AppendRequest request, long term) {
        if (!isInRange(request.getPreviousIndex())
                || !isInRange(request.getPreviousTerm())
                || !isInRange(request.getCommitIndex())) {
            return false;
        }
        long index = request.getPreviousIndex();
        long lastTerm = request.getPreviousTerm();
        for (StoredEntry entry : request.getEntriesList()) {
            boolean follows =
                    entry.getIndex() == index + 1
                            && entry.getTerm() >= lastTerm
                            && entry.getTerm() <= term;
            if (!follows || !areMembers(entry.getParticipants())) {
                return false;
            }
            index = entry.getIndex();
            lastTerm = entry.getTerm();
        }
        return true;
    }

    private static boolean isSane(AppendAnswer answer, long lastIndex) {
        long highest = answer.getMatched() ? lastIndex : lastIndex + 1;
        return isInRange(answer.getIndex()) && answer.getIndex() <= highest;
    }

    private static boolean isSane(StoredSnapshot snapshot, long term) {
        return isInRange(snapshot.getIndex())
                && snapshot.getIndex() > 0
                && isInRange(snapshot.getTerm())
                && snapshot.getTerm() <= term
                && areMembers(snapshot.getParticipants());
    }

    private static boolean isInRange(long number) {
        return number >= 0 && number < MAX_NUMBER;
    }

    private static boolean areMembers(Participants participants) {
        return areMembers(participants.getVotersList())
                && areMembers(participants.getLearnersList());
    }

    private static boolean areMembers(List<String> names) {
        return names.stream().allMatch(MessageCheck::isMember);
    }

    private static boolean isMember(String name) {
        try {
            MemberId.parse(name);
            return true;
        } catch (ChivevaleException | IllegalArgumentException e) {
            return false;
        }
    }
}
