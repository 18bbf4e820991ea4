package org.chivevale.consensus.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.Participants;

/**
 * The formation of a new log by its initial voters, as one of them sees it.
 *
 * <p>Invariant: complete only once every initial voter has said that it is new. A member that has
 * lost its data folder thus never forms a second log beside one that has entries. Not thread safe.
 */
final class Formation {
    private final List<HostPort> addresses;
    private final String storeId;
    private final Set<HostPort> missing;

    Formation(List<HostPort> addresses, String storeId) {
        this.addresses = List.copyOf(addresses);
        this.storeId = storeId;
        this.missing = new HashSet<>(addresses);
    }

    void onNewMember(HostPort address) {
        missing.remove(address);
    }

    boolean isMissing(HostPort address) {
        return missing.contains(address);
    }

    /** Returns the initial voters that have not said that they are new. */
    Set<HostPort> missing() {
        return Set.copyOf(missing);
    }

    boolean isComplete() {
        return missing.isEmpty();
    }

    int size() {
        return addresses.size();
    }

    /** Returns the store id that all initial voters share. */
    String storeId() {
        return storeId;
    }

    Participants participants() {
        Participants.Builder voters = Participants.newBuilder();
        for (HostPort address : addresses) {
            voters.addVoters(new MemberId(address, storeId).toString());
        }
        return voters.build();
    }
}
