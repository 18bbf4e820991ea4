package org.chivevale.proxy.internal.relay;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.TransactionState;
import org.chivevale.wire.proto.RelayAnswer;
import org.chivevale.wire.proto.RelayEffect;
import org.chivevale.wire.proto.RelayReply;
import org.chivevale.wire.proto.RelayStatement;
import org.chivevale.wire.proto.RelayStatementKind;
import org.chivevale.wire.proto.RelayTransactionState;

/**
 * Converts statements and replies to the messages between proxies.
 *
 * <p>Invariants: texts, rows and signatures pass unchanged; what cannot be decoded never becomes a
 * reply that promises that a statement has not run. Stateless and thread safe.
 */
public final class RelayCodec {
    private static final Map<Reply, RelayReply> REPLIES = new EnumMap<>(Reply.class);
    private static final Map<RelayReply, Reply> REPLIES_BY_CODE = new HashMap<>();

    static {
        for (Reply reply : Reply.values()) {
            RelayReply code = RelayReply.valueOf(reply.name());
            REPLIES.put(reply, code);
            REPLIES_BY_CODE.put(code, reply);
        }
    }

    private RelayCodec() {}

    /**
     * Encodes a statement that runs at an endpoint.
     *
     * @param statement the statement
     * @param prepared the prepared statement that it executes; null for others
     * @return the message
     */
    public static RelayStatement encode(Statement statement, Prepared prepared) {
        RelayStatement.Builder message = RelayStatement.newBuilder();
        if (statement instanceof Statement.Read read) {
            message.setKind(RelayStatementKind.READ).setArguments(read.arguments());
        } else if (statement instanceof Statement.Write write) {
            message.setKind(RelayStatementKind.WRITE).setArguments(write.arguments());
        } else if (statement instanceof Statement.Execute execute && prepared != null) {
            message.setKind(RelayStatementKind.EXECUTE)
                    .setArguments(execute.arguments())
                    .setPreparedShape(prepared.shape())
                    .setWrites(prepared.writes());
        } else if (statement instanceof Statement.Begin begin) {
            message.setKind(
                    begin.readOnly()
                            ? RelayStatementKind.BEGIN_READ_ONLY
                            : RelayStatementKind.BEGIN);
        } else if (statement instanceof Statement.Commit) {
            message.setKind(RelayStatementKind.COMMIT);
        } else {
            throw new IllegalArgumentException(
                    "a " + statement.getClass().getSimpleName() + " is not relayed");
        }
        return message.build();
    }

    /**
     * Decodes a statement.
     *
     * @param message the message
     * @return the statement; null when this process does not know its kind
     */
    public static Statement decode(RelayStatement message) {
        return switch (message.getKind()) {
            case READ -> new Statement.Read(message.getArguments());
            case WRITE -> new Statement.Write(message.getArguments());
            case EXECUTE -> new Statement.Execute("", message.getArguments());
            case BEGIN -> new Statement.Begin(false);
            case BEGIN_READ_ONLY -> new Statement.Begin(true);
            case COMMIT -> new Statement.Commit();
            case UNRECOGNIZED -> null;
        };
    }

    /**
     * Decodes the prepared statement of an execution.
     *
     * @param message the message
     * @return the prepared statement; null for other statements
     */
    public static Prepared decodePrepared(RelayStatement message) {
        return message.getKind() == RelayStatementKind.EXECUTE
                ? new Prepared(message.getWrites(), message.getPreparedShape())
                : null;
    }

    /**
     * Encodes an effect.
     *
     * @param effect what a statement can change
     * @return the code
     */
    public static RelayEffect encode(Effect effect) {
        return switch (effect) {
            case SINGLE_READ -> RelayEffect.SINGLE_READ;
            case SINGLE_WRITE -> RelayEffect.SINGLE_WRITE;
            case BEGIN -> RelayEffect.EFFECT_BEGIN;
            case IN_TRANSACTION -> RelayEffect.IN_TRANSACTION;
            case COMMIT -> RelayEffect.EFFECT_COMMIT;
            case COMMIT_OF_READS -> RelayEffect.COMMIT_OF_READS;
        };
    }

    /**
     * Decodes an effect.
     *
     * @param effect the code
     * @return what the statement can change; null when this process does not know the code
     */
    public static Effect decode(RelayEffect effect) {
        return switch (effect) {
            case SINGLE_READ -> Effect.SINGLE_READ;
            case SINGLE_WRITE -> Effect.SINGLE_WRITE;
            case EFFECT_BEGIN -> Effect.BEGIN;
            case IN_TRANSACTION -> Effect.IN_TRANSACTION;
            case EFFECT_COMMIT -> Effect.COMMIT;
            case COMMIT_OF_READS -> Effect.COMMIT_OF_READS;
            case UNRECOGNIZED -> null;
        };
    }

    /**
     * Encodes a reply.
     *
     * @param reply the reply
     * @param fromEndpoint true when the endpoint replied or failed to
     * @param queuedMillis how long the statement waited for a connection
     * @return the answer
     */
    public static RelayAnswer encode(EndpointReply reply, boolean fromEndpoint, long queuedMillis) {
        RelayAnswer.Builder answer =
                RelayAnswer.newBuilder()
                        .setReply(REPLIES.get(reply.reply()))
                        .addAllRows(reply.rows())
                        .setSignature(reply.signature())
                        .setDetail(reply.detail() == null ? "" : reply.detail())
                        .setTransaction(encode(reply.transaction()))
                        .setQueuedMillis((int) queuedMillis)
                        .setFromEndpoint(fromEndpoint);
        if (reply.position() != null) {
            answer.setPositionTerm(reply.position().term())
                    .setPositionNumber(reply.position().number());
        }
        return answer.build();
    }

    private static RelayTransactionState encode(TransactionState state) {
        return switch (state) {
            case NONE -> RelayTransactionState.NONE;
            case OPEN -> RelayTransactionState.OPEN;
            case FAILED -> RelayTransactionState.TRANSACTION_FAILED;
        };
    }

    /**
     * Decodes an answer that is not {@link RelayReply#MOVED}.
     *
     * @param answer the answer
     * @return the reply
     */
    public static EndpointReply decode(RelayAnswer answer) {
        TermPosition position =
                answer.getPositionTerm() == 0 && answer.getPositionNumber() == 0
                        ? null
                        : new TermPosition(answer.getPositionTerm(), answer.getPositionNumber());
        TransactionState state =
                switch (answer.getTransaction()) {
                    case NONE -> TransactionState.NONE;
                    case OPEN -> TransactionState.OPEN;
                    default -> TransactionState.FAILED;
                };
        return new EndpointReply(
                REPLIES_BY_CODE.getOrDefault(answer.getReply(), Reply.LOST),
                answer.getRowsList(),
                answer.getSignature(),
                answer.getDetail(),
                state,
                position);
    }
}
