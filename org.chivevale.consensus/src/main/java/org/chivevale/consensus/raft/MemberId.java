package org.chivevale.consensus.raft;

import org.chivevale.core.settings.HostPort;

/**
 * Identity of a member: the address of a control process and the id of its data folder.
 *
 * <p>Immutable. A process that restarts with an empty folder is another member at the same address,
 * so it cannot vote a second time in a term in which the lost folder has voted.
 *
 * @param address where the process receives messages of the log
 * @param storeId id of the data folder
 */
public record MemberId(HostPort address, String storeId) {
    private static final char SEPARATOR = '/';

    /** Rejects a store id that {@link #parse} could not read back. */
    public MemberId {
        if (storeId.isEmpty() || storeId.indexOf(SEPARATOR) >= 0) {
            throw new IllegalArgumentException(
                    "store id '" + storeId + "' is empty or contains '/'");
        }
    }

    /**
     * Parses the result of {@link #toString}.
     *
     * @param text IP:PORT/STORE
     * @return the member
     */
    public static MemberId parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            throw new IllegalArgumentException("member '" + text + "' is not IP:PORT/STORE");
        }
        return new MemberId(
                HostPort.parse(text.substring(0, separator)), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return address.toString() + SEPARATOR + storeId;
    }
}
