package org.chivevale.database;

import io.vertx.core.Future;
import java.util.List;
import org.chivevale.core.account.ClientAccountId;

/**
 * One connection to one database group on one endpoint.
 *
 * <p>Contract: one request at a time. Failures are {@link DatabaseFailure}s; after one that leaves
 * a doubt about the connection's state, {@link #usable} is false and it must be closed. Used on one
 * event loop. Another kind of database is another class of this interface.
 */
public interface DatabaseConnection extends MemberConnection {
    /**
     * Runs statements that only read.
     *
     * @param account the client account with whose rights they run
     * @param statements the statements
     * @param atPrimary true when the endpoint is the group's primary
     * @param requiredPosition the lowest position to read at; 0 when it needs no check
     * @param limits limits on the answer
     * @return the answer; no results when the endpoint has not reached the position
     */
    Future<ReadAnswer> read(
            ClientAccountId account,
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            AnswerLimits limits);

    /**
     * Runs a transaction.
     *
     * @param request the transaction
     * @return the answer, once it has committed at this endpoint
     */
    Future<WriteAnswer> write(WriteRequest request);

    /**
     * Runs a change of the account's tables, outside of a transaction.
     *
     * @param request with one statement and no record
     * @return the answer
     */
    Future<WriteAnswer> changeSchema(WriteRequest request);

    /**
     * Begins an interactive transaction.
     *
     * @param account the client account with whose rights it runs
     * @param term the term that the primary must be in
     * @return completes when it has begun
     */
    Future<Void> begin(ClientAccountId account, long term);

    /**
     * Runs a statement in an interactive transaction.
     *
     * @param statement the statement
     * @param limits limits on the answer
     * @return its result
     */
    Future<StatementResult> execute(Statement statement, AnswerLimits limits);

    /**
     * Commits an interactive transaction.
     *
     * @return where it stands in the log
     */
    Future<WriteAnswer> commit();

    /**
     * Rolls an interactive transaction back.
     *
     * @return completes when nothing is left of it
     */
    Future<Void> rollback();

    /**
     * Asks a primary for its position and its replicas'.
     *
     * @return its status
     */
    Future<PrimaryStatus> primaryStatus();

    /**
     * Asks a replica for the position that its reads see.
     *
     * @return the position
     */
    Future<Long> replicaPosition();

    /**
     * Tells whether the connection can take another request.
     *
     * @return false after any doubt
     */
    boolean usable();

    /**
     * Tells whether a commit has been sent whose end was not seen.
     *
     * @return true when an effect may exist though the request did not end
     */
    boolean commitPending();

    /**
     * Returns the highest position at which this connection has read.
     *
     * @return 0 before the first read
     */
    long lastPosition();

    /**
     * Returns the client account whose rights the connection has now.
     *
     * @return null when it has none, so that any change costs a round trip
     */
    ClientAccountId readingAccount();
}
