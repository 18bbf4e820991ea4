package org.chivevale.database;

import io.vertx.core.Future;
import java.util.List;
import org.chivevale.core.account.ClientAccountId;

/**
 * One connection to one database group on one endpoint.
 *
 * <p>Contract: one request at a time. Failures are {@link DatabaseFailure}s; after a failure that
 * leaves the connection in an unknown state, {@link #usable} is false and the connection must be
 * closed. Used on one event loop. Each kind of database has its own implementation.
 */
public interface DatabaseConnection extends MemberConnection {
    /**
     * Runs read-only statements.
     *
     * @param account the client account whose privileges apply
     * @param statements the statements
     * @param atPrimary true when the endpoint is the group's primary
     * @param requiredPosition the lowest log position to read at; 0 to skip the check
     * @param limits limits on the size of the results
     * @return the results; none when the endpoint has not reached the position
     */
    Future<ReadResult> read(
            ClientAccountId account,
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            ResultLimits limits);

    /**
     * Runs a transaction.
     *
     * @param request the transaction
     * @return the results, once the transaction has committed at this endpoint
     */
    Future<WriteResult> write(WriteRequest request);

    /**
     * Runs a schema change of the account outside of a transaction.
     *
     * @param request a request with one statement and without a request record
     * @return the result with the log position that covers the change
     */
    Future<WriteResult> changeSchema(WriteRequest request);

    /**
     * Begins an interactive transaction.
     *
     * @param account the client account whose privileges apply
     * @param term the expected term of the primary
     * @return completes when it has begun
     */
    Future<Void> begin(ClientAccountId account, long term);

    /**
     * Runs a statement in an interactive transaction.
     *
     * @param statement the statement
     * @param limits limits on the size of the results
     * @return its result
     */
    Future<StatementResult> execute(Statement statement, ResultLimits limits);

    /**
     * Commits an interactive transaction.
     *
     * @return an empty result with the log position that covers the commit
     */
    Future<WriteResult> commit();

    /**
     * Rolls back an interactive transaction.
     *
     * @return completes when the rollback has been confirmed
     */
    Future<Void> rollback();

    /**
     * Queries the log positions of a primary and its replicas.
     *
     * @return the primary's status
     */
    Future<PrimaryStatus> primaryStatus();

    /**
     * Queries the log position up to which a replica has replayed.
     *
     * @return the position that is visible to reads
     */
    Future<Long> replicaPosition();

    /**
     * Tells whether the connection can take another request.
     *
     * @return false once the state of the connection is unknown or it is closed
     */
    boolean usable();

    /**
     * Returns what is known of the effect of the current or the last request.
     *
     * @return never null
     */
    CommitState commitState();

    /**
     * Returns the highest position at which this connection has read.
     *
     * @return 0 before the first read
     */
    long highestReadPosition();

    /**
     * Returns the client account whose role the connection has set for reads.
     *
     * @return null when no role is set; a read for another account costs one more round trip
     */
    ClientAccountId readingAccount();
}
