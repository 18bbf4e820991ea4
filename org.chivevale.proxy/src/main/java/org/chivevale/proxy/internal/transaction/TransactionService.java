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
import org.chivevale.proxy.internal.request.CallerAnswer;
import org.chivevale.proxy.internal.request.ExecutionService;
import org.chivevale.proxy.internal.request.InteractiveSteps;
import org.chivevale.proxy.internal.request.RequestReader;

/**
 * The interactive transactions that this proxy holds.
 *
 * <p>Invariants: a transaction belongs to the client account and key that began it; it ends with
 * its time limit, its key, or its primary's term. Used on the event loop.
 */
public final class TransactionService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "transactions";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 100;
    private static final int ID_BYTES = 16;

    private final ProxySettings settings;
    private final Directory directory;
    private final Map<String, OpenTransaction> open = new HashMap<>();
    private final SecureRandom random = new SecureRandom();
    private InteractiveSteps steps;
    private RequestReader reader;
    private Counter expired;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory knows lease, keys and terms
     */
    public TransactionService(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        MeterRegistry registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        steps = kernel.find(ExecutionService.NAME, ExecutionService.class).steps();
        reader = new RequestReader(settings, directory.configuration());
        expired = registry.counter("chivevale.proxy.transactions.ended.early");
        registry.gauge("chivevale.proxy.transactions.open", open, Map::size);
        loop.every(TICK_MILLIS, this::tick);
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        for (OpenTransaction transaction : new ArrayList<>(open.values())) {
            if (!transaction.busy && !mayGoOn(transaction, now)) {
                expired.increment();
                end(transaction);
            }
        }
    }

    private boolean mayGoOn(OpenTransaction transaction, long nowNanos) {
        long idleNanos = settings.timing().transactionIdleMillis() * NANOS_PER_MILLI;
        boolean inTime =
                nowNanos - transaction.endNanos < 0
                        && nowNanos - transaction.idleSinceNanos < idleNanos;
        boolean keyStands = directory.configuration().key(transaction.keyId) != null;
        Group group = transaction.group;
        return inTime
                && keyStands
                && transaction.connection.usable()
                && directory.stillPrimary(group.id(), group.term(), group.primary(), nowNanos);
    }

    private void end(OpenTransaction transaction) {
        if (transaction.ended) {
            return;
        }
        transaction.ended = true;
        open.remove(transaction.id);
        if (!transaction.connection.usable()) {
            transaction.pool.release(transaction.connection);
            return;
        }
        steps.limit(transaction.connection.rollback(), transaction.connection, limitNanos())
                .onFailure(failure -> transaction.connection.close())
                .onComplete(done -> transaction.pool.release(transaction.connection));
    }

    private long limitNanos() {
        return EventLoop.nowNanos() + settings.timing().statementTimeoutMillis() * NANOS_PER_MILLI;
    }

    /**
     * Begins a transaction.
     *
     * @param account the client account
     * @param keyId the key that came with the request
     * @param group the database group
     * @param session what the session must see
     * @param deadlineNanos the request's deadline
     * @return the transaction's id
     */
    public Future<String> begin(
            ClientAccountId account,
            String keyId,
            GroupId group,
            SessionToken session,
            long deadlineNanos) {
        long ofAccount = open.values().stream().filter(one -> one.account.equals(account)).count();
        if (ofAccount >= settings.limits().transactionsPerAccount()) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TOO_MANY_TRANSACTIONS,
                            "client account " + account + " has " + ofAccount + " open"));
        }
        return steps.begin(account, group, deadlineNanos)
                .map(begun -> remember(account, keyId, session, begun));
    }

    private String remember(
            ClientAccountId account,
            String keyId,
            SessionToken session,
            InteractiveSteps.Begun begun) {
        byte[] secret = new byte[ID_BYTES];
        random.nextBytes(secret);
        String id = settings.id() + "." + HexFormat.of().formatHex(secret);
        long now = EventLoop.nowNanos();
        long end = now + settings.timing().transactionMillis() * NANOS_PER_MILLI;
        open.put(
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
                        end));
        return id;
    }

    /**
     * Runs a step of a transaction that this proxy holds.
     *
     * @param account the client account whose key came with the request
     * @param id the transaction
     * @param action statements, commit or rollback
     * @param body the request's body
     * @return what the caller is told
     */
    public Future<CallerAnswer> step(
            ClientAccountId account, String id, String action, JsonNode body) {
        OpenTransaction transaction = open.get(id);
        long now = EventLoop.nowNanos();
        boolean usable =
                transaction != null && transaction.account.equals(account) && !transaction.busy;
        if (!usable || !mayGoOn(transaction, now)) {
            return Future.failedFuture(gone(id));
        }
        List<Statement> statements = action.equals("statements") ? statements(body) : List.of();
        transaction.busy = true;
        Future<CallerAnswer> running =
                switch (action) {
                    case "statements" -> run(transaction, statements);
                    case "commit" -> commit(transaction);
                    case "rollback" -> rollback(transaction);
                    default ->
                            Future.failedFuture(
                                    new ChivevaleException(
                                            ResultCode.ROUTE_UNKNOWN, "no action " + action));
                };
        return running.onComplete(
                done -> {
                    transaction.busy = false;
                    transaction.idleSinceNanos = EventLoop.nowNanos();
                });
    }

    private static ChivevaleException gone(String id) {
        return new ChivevaleException(
                ResultCode.TRANSACTION_GONE,
                "transaction " + id + " is unknown, busy, or has ended without effect");
    }

    private List<Statement> statements(JsonNode body) {
        List<Statement> statements = new ArrayList<>();
        for (JsonNode one : body.path("statements")) {
            Statement statement = reader.statement(one);
            if (StatementPolicy.classify(statement.sql()) == StatementKind.SCHEMA) {
                throw new ChivevaleException(
                        ResultCode.STATEMENT_FORBIDDEN,
                        "tables are not changed in an interactive transaction");
            }
            statements.add(statement);
        }
        if (statements.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, "field 'statements' must be a list");
        }
        if (statements.size() > settings.limits().statements()) {
            throw new ChivevaleException(
                    ResultCode.TOO_MANY_STATEMENTS,
                    "at most " + settings.limits().statements() + " statements a request");
        }
        return statements;
    }

    private Future<CallerAnswer> run(OpenTransaction transaction, List<Statement> statements) {
        ResultLimits limits =
                new ResultLimits(settings.limits().rows(), settings.limits().answerBytes());
        return steps.run(transaction.connection, statements, limits, transaction.endNanos)
                .recover(
                        failure -> {
                            end(transaction);
                            return Future.failedFuture(ofStatement(failure));
                        });
    }

    private static Throwable ofStatement(Throwable failure) {
        return failure instanceof ChivevaleException
                ? failure
                : new ChivevaleException(
                        ResultCode.STATEMENT_FAILED,
                        Outcome.NOT_RUN,
                        failure.getMessage() + "; the transaction was rolled back");
    }

    private Future<CallerAnswer> commit(OpenTransaction transaction) {
        open.remove(transaction.id);
        transaction.ended = true;
        DatabaseConnection connection = transaction.connection;
        InstancePool pool = transaction.pool;
        return steps.commit(
                        transaction.group,
                        transaction.account,
                        connection,
                        transaction.session,
                        limitNanos())
                .onComplete(done -> pool.release(connection));
    }

    private Future<CallerAnswer> rollback(OpenTransaction transaction) {
        end(transaction);
        return Future.succeededFuture(steps.rolledBack(transaction.session));
    }

    /**
     * Returns how many transactions are open.
     *
     * @return the number
     */
    public int openCount() {
        return open.size();
    }

    /**
     * Tells which proxy holds a transaction.
     *
     * @param id the transaction
     * @return the proxy's id; empty when the id is not one
     */
    public static String holder(String id) {
        int dot = id.lastIndexOf('.');
        return dot <= 0 ? "" : id.substring(0, dot);
    }
}
