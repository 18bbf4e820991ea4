package org.chivevale.proxy.internal.relay;

import org.chivevale.wire.proto.RelayAnswer;

/**
 * What the sender knows of a relayed statement.
 *
 * <p>Immutable.
 *
 * @param kind whether there is an answer, and if not, whether the host may have run the statement
 * @param answer the host's answer; null without one
 */
public record RelayOutcome(Kind kind, RelayAnswer answer) {
    /** Whether the host may have run the statement. */
    public enum Kind {
        /** The host answered. */
        ANSWERED,
        /** The request was never written to the link, so it has not run. */
        NOT_SENT,
        /** The request was written to the link and the answer is missing, so it may have run. */
        LOST
    }

    /** The outcome of a request that was never written. */
    public static final RelayOutcome NOT_SENT = new RelayOutcome(Kind.NOT_SENT, null);

    /** The outcome of a request whose answer is missing. */
    public static final RelayOutcome LOST = new RelayOutcome(Kind.LOST, null);

    static RelayOutcome answered(RelayAnswer answer) {
        return new RelayOutcome(Kind.ANSWERED, answer);
    }
}
