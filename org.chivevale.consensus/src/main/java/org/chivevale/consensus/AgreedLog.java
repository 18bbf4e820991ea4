package org.chivevale.consensus;

import java.util.List;
import java.util.function.Consumer;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.RaftMessage;

/**
 * A log on which the control processes agree.
 *
 * <p>Contract: an entry counts once a majority has synced it; entries are applied in the same order
 * everywhere. Called by one thread, which also gets the callbacks.
 */
public interface AgreedLog {
    /** How an attempt to append ended. */
    enum Result {
        /** The entry is agreed and had its effect. */
        APPLIED,
        /** The entry is agreed but came too late to have an effect. */
        SUPERSEDED,
        /**
         * This process does not lead, or lost the lead; the entry may or may not be agreed later.
         */
        NOT_LEADING
    }

    /**
     * Appends an entry.
     *
     * @param payload the entry
     * @param done learns the end
     */
    void append(byte[] payload, Consumer<Result> done);

    /**
     * Tells whether this process may decide now.
     *
     * @return true while it leads and a majority has confirmed that lately
     */
    boolean leading();

    /**
     * Returns the address that operators and proxies should use.
     *
     * @return the leader's id, or an empty text when there is none
     */
    String leader();

    /**
     * Lists where the processes listen that may lead.
     *
     * @return the leader first, where it is known
     */
    default List<String> members() {
        return List.of();
    }

    /** Acts on the passage of time. */
    default void tick() {}

    /**
     * Handles a message of another member.
     *
     * @param message what came
     */
    default void receive(RaftMessage message) {}

    /**
     * Names processes that know who leads, for a member that hears from nobody.
     *
     * @param addresses where to ask
     */
    default void seeds(List<HostPort> addresses) {}

    /** Gives up the lead before the process stops. */
    default void handOver() {}

    /** Stops; nothing is applied afterwards. */
    void close();
}
