package org.chivevale.consensus.raft;

import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.RaftMessage;

/**
 * Sends messages to other members.
 *
 * <p>Contract: messages may be lost, delayed, duplicated or reordered; sending never blocks.
 */
public interface RaftTransport {
    /**
     * Sends a message.
     *
     * @param to address at which the receiver listens
     * @param message the message
     */
    void send(HostPort to, RaftMessage message);
}
