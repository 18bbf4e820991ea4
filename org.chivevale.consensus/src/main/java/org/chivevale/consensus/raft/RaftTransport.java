package org.chivevale.consensus.raft;

import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.RaftMessage;

/**
 * Carries messages to other members.
 *
 * <p>Contract: a message may be lost, delayed, repeated or overtaken; sending never blocks.
 */
public interface RaftTransport {
    /**
     * Sends a message.
     *
     * @param to where the receiver listens
     * @param message what to send
     */
    void send(HostPort to, RaftMessage message);
}
