package org.chivevale.consensus.raft;

import org.chivevale.core.settings.HostPort;

/**
 * One data folder of one control process: its address and the identity of its store.
 *
 * <p>Immutable. A process that comes back with an empty folder has another identity at the same
 * address, so it never speaks with the vote of the folder that was lost.
 *
 * @param address where the process takes messages of other processes
 * @param storeId identity of the data folder
 */
public record MemberId(HostPort address, String storeId) {
    private static final char SEPARATOR = '/';

    /** Checks that the identity can be written and read back. */
    public MemberId {
        if (storeId.isEmpty() || storeId.indexOf(SEPARATOR) >= 0) {
            throw new IllegalArgumentException("store id '" + storeId + "'");
        }
    }

    /**
     * Reads what {@link #toString} wrote.
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
