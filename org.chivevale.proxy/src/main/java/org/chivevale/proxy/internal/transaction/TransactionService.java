package org.chivevale.proxy.internal.transaction;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.session.SessionToken;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.core.statement.StatementPolicy;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.ResultLimits;
import org.chivevale.database.Statement;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.pool.InstancePool;
import org.chivevale.proxy.internal.request.CallerResponse;
import org.chivevale.proxy.internal.request.ExecutionService;
import org.chivevale.proxy.internal.request.RequestExecutor;
import org.chivevale.proxy.internal.request.RequestParser;

/**
 * The interactive transactions that this proxy owns.
 *
 * <p>Invariants: a transaction belongs to the client account and key that began it; it is rolled
 * back when its time limit passes, its key is withdrawn, its primary's term ends, or its primary's
 * data centre has been evacuated for some time. Used on the event loop.
 */
public final class TransactionService implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "transactions";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 100;
    private static final int ID_BYTES = 16;

    /** The action that ends a transaction with an effect. */
    static final String COMMIT = "commit";

    private final ProxySettings settings;
    private final Directory directory;
    private final Map<String, OpenTransaction> openTransactions = new HashMap<>();
    private final EndedTransactions endedTransactions = new EndedTransactions();
    private final SecureRandom random = new SecureRandom();
    private RequestExecutor executor;
    private RequestParser parser;
    private Counter endedEarly;

    /**
     * Prepares the service; it owns no transaction at first.
     *
     * @param settings the process's settings
     * @param directory the lease, the keys and the terms
     */
    public TransactionService(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        MeterRegistry registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        executor = kernel.find(ExecutionService.NAME, ExecutionService.class).executor();
        parser = new RequestParser(settings, directory.configuration());
        endedEarly = registry.counter("chivevale.proxy.transactions.ended.early");
        registry.gauge("chivevale.proxy.transactions.open", openTransactions, Map::size);
        loop.every(TICK_MILLIS, this::endExpiredTransactions);
    }

    private void endExpiredTransactions() {
        long now = EventLoop.nowNanos();
        for (OpenTransaction transaction : new ArrayList<>(openTransactions.values())) {
            if (!transaction.isStepRunning && !canContinue(transaction, now)) {
                endedEarly.increment();
                endWithRollback(transaction, reasonForEnd(transaction));
            }
        }
    }

    private String reasonForEnd(OpenTransaction transaction) {
        Group group = transaction.group;
        return directory.availability().reason(group.id(), group.primary());
    }

    private boolean canContinue(OpenTransaction transaction, long nowNanos) {
        long idleNanos = settings.timing().transactionIdleMillis() * NANOS_PER_MILLI;
        boolean isWithinLimits =
                nowNanos - transaction.expiresAtNanos < 0
                        && nowNanos - transaction.idleSinceNanos < idleNanos;
        boolean isKeyValid = directory.configuration().key(transaction.keyId) != null;
        Group group = transaction.group;
        return isWithinLimits
                && isKeyValid
                && transaction.connection.usable()
                && directory.isStillPrimary(group.id(), group.term(), group.primary(), nowNanos)
                && mayContinueAtEndpoint(transaction, nowNanos);
    }

    private boolean mayContinueAtEndpoint(OpenTransaction transaction, long nowNanos) {
        Group group = transaction.group;
        return directory.availability().mayContinue(group.id(), group.primary(), nowNanos);
    }

    private void endWithRollback(OpenTransaction transaction) {
        endWithRollback(transaction, "");
    }

    private void endWithRollback(OpenTransaction transaction, String reason) {
        if (transaction.isEnded) {
            return;
        }
        transaction.isEnded = true;
        openTransactions.remove(transaction.id);
        endedTransactions.recordRollback(transaction.id, transaction.account, reason);
        if (!transaction.connection.usable()) {
            transaction.pool.release(transaction.connection);
            return;
        }
        executor.withTimeout(
                        transaction.connection.rollback(),
                        transaction.connection,
                        statementDeadlineNanos())
                .onFailure(failure -> transaction.connection.close())
                .onComplete(done -> transaction.pool.release(transaction.connection));
    }

    private long statementDeadlineNanos() {
        return EventLoop.nowNanos() + settings.timing().statementTimeoutMillis() * NANOS_PER_MILLI;
    }

    /**
     * Begins a transaction.
     *
     * @param account the client account
     * @param keyId the id of the key that the request carried
     * @param group the database group
     * @param session the caller's session, empty when the request carries no token
     * @param deadlineNanos the request's deadline as a monotonic time
     * @return the transaction's id
     */
    public Future<String> begin(
            ClientAccountId account,
            String keyId,
            GroupId group,
            SessionToken session,
            long deadlineNanos) {
        long openOfAccount =
                openTransactions.values().stream()
                        .filter(each -> each.account.equals(account))
                        .count();
        if (openOfAccount >= settings.limits().transactionsPerAccount()) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TOO_MANY_TRANSACTIONS,
                            "client account "
                                    + account
                                    + " has "
                                    + openOfAccount
                                    + " open transactions"));
        }
        return executor.begin(account, group, deadlineNanos)
                .map(begun -> register(account, keyId, session, begun));
    }

    private String register(
            ClientAccountId account,
            String keyId,
            SessionToken session,
            RequestExecutor.BegunTransaction begun) {
        byte[] secret = new byte[ID_BYTES];
        random.nextBytes(secret);
        String id = settings.id() + "." + HexFormat.of().formatHex(secret);
        long now = EventLoop.nowNanos();
        long expiresAtNanos = now + settings.timing().transactionMillis() * NANOS_PER_MILLI;
        openTransactions.put(
                id,
                new OpenTransaction(
                        id,
                        account,
                        keyId,
                        begun.group(),
                        begun.pool(),
                        begun.connection(),
                        session,
                        now,
                        expiresAtNanos));
        return id;
    }

    /**
     * Executes a step of a transaction that this proxy owns.
     *
     * @param account the client account that the request's key belongs to
     * @param id the transaction's id
     * @param action statements, commit or rollback
     * @param body the request's body
     * @return the response to the caller
     */
    public Future<CallerResponse> executeStep(
            ClientAccountId account, String id, String action, JsonNode body) {
        OpenTransaction transaction = openTransactions.get(id);
        if (transaction == null && action.equals(COMMIT)) {
            return endedTransactions.repeatCommit(id, account);
        }
        long now = EventLoop.nowNanos();
        boolean acceptsStep =
                transaction != null
                        && transaction.account.equals(account)
                        && !transaction.isStepRunning;
        if (!acceptsStep || !canContinue(transaction, now)) {
            return Future.failedFuture(transactionGone(id, account, transaction));
        }
        List<Statement> statements =
                action.equals("statements") ? parseStatements(body) : List.of();
        transaction.isStepRunning = true;
        Future<CallerResponse> response =
                switch (action) {
                    case "statements" -> executeStatements(transaction, statements);
                    case COMMIT -> executeCommit(transaction);
                    case "rollback" -> executeRollback(transaction);
                    default ->
                            Future.failedFuture(
                                    new ChivevaleException(
                                            ResultCode.ROUTE_UNKNOWN, "unknown action " + action));
                };
        return response.onComplete(
                done -> {
                    transaction.isStepRunning = false;
                    transaction.idleSinceNanos = EventLoop.nowNanos();
                });
    }

    private ChivevaleException transactionGone(
            String id, ClientAccountId account, OpenTransaction transaction) {
        boolean isOwn = transaction != null && transaction.account.equals(account);
        String reason = isOwn ? reasonForEnd(transaction) : endedTransactions.reason(id, account);
        return new ChivevaleException(
                ResultCode.TRANSACTION_GONE,
                "transaction "
                        + id
                        + " is unknown, busy, or has ended"
                        + (reason.isEmpty() ? "" : ": " + reason));
    }

    private List<Statement> parseStatements(JsonNode body) {
        List<Statement> statements = new ArrayList<>();
        for (JsonNode item : body.path("statements")) {
            Statement statement = parser.parseStatement(item);
            if (StatementPolicy.classify(statement.sql()) == StatementKind.SCHEMA) {
                throw new ChivevaleException(
                        ResultCode.STATEMENT_FORBIDDEN,
                        "an interactive transaction may not change the schema");
            }
            statements.add(statement);
        }
        if (statements.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, "field 'statements' must be a non-empty array");
        }
        if (statements.size() > settings.limits().statements()) {
            throw new ChivevaleException(
                    ResultCode.TOO_MANY_STATEMENTS,
                    "at most " + settings.limits().statements() + " statements per request");
        }
        return statements;
    }

    private Future<CallerResponse> executeStatements(
            OpenTransaction transaction, List<Statement> statements) {
        ResultLimits limits =
                new ResultLimits(settings.limits().rows(), settings.limits().responseBytes());
        return executor.executeStatements(
                        transaction.connection,
                        statements,
                        limits,
                        transaction.expiresAtNanos,
                        () -> mayContinueAtEndpoint(transaction, EventLoop.nowNanos()))
                .recover(
                        failure -> {
                            endWithRollback(transaction);
                            return Future.failedFuture(statementFailure(failure));
                        });
    }

    private static Throwable statementFailure(Throwable failure) {
        return failure instanceof ChivevaleException
                ? failure
                : new ChivevaleException(
                        ResultCode.STATEMENT_FAILED,
                        Outcome.NOT_RUN,
                        failure.getMessage() + "; the transaction was rolled back");
    }

    private Future<CallerResponse> executeCommit(OpenTransaction transaction) {
        openTransactions.remove(transaction.id);
        transaction.isEnded = true;
        DatabaseConnection connection = transaction.connection;
        InstancePool pool = transaction.pool;
        Future<CallerResponse> result =
                executor.commit(
                                transaction.group,
                                transaction.account,
                                connection,
                                transaction.session,
                                statementDeadlineNanos())
                        .onComplete(done -> pool.release(connection));
        endedTransactions.recordCommit(transaction.id, transaction.account, result);
        return result;
    }

    private Future<CallerResponse> executeRollback(OpenTransaction transaction) {
        endWithRollback(transaction);
        return Future.succeededFuture(executor.rollbackResponse(transaction.session));
    }

    /**
     * Returns the number of open transactions.
     *
     * @return the number of transactions that this proxy owns
     */
    public int openCount() {
        return openTransactions.size();
    }

    /**
     * Returns the proxy that owns a transaction.
     *
     * @param id the transaction's id
     * @return the proxy's id; empty when the transaction's id is malformed
     */
    public static String ownerOf(String id) {
        int dot = id.lastIndexOf('.');
        return dot <= 0 ? "" : id.substring(0, dot);
    }
}
