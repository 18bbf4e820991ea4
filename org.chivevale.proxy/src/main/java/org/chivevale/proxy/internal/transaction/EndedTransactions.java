package org.chivevale.proxy.internal.transaction;

import io.vertx.core.Future;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.proxy.internal.request.CallerResponse;

/**
 * The results of transactions that have ended, for commits that are repeated after a lost response.
 *
 * <p>Invariant: a commit is reported as without effect only for a transaction that is known to have
 * been rolled back. Keeps the newest {@link #MAX_KEPT}. Not thread safe.
 */
final class EndedTransactions {
    private static final int MAX_KEPT = 4096;

    private final Map<String, Ended> newestLast =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Ended> eldest) {
                    return size() > MAX_KEPT;
                }
            };

    private record Ended(
            ClientAccountId account, Future<CallerResponse> commitResult, String reason) {}

    /** Records a commit, whose result may still be pending. */
    void recordCommit(String id, ClientAccountId account, Future<CallerResponse> result) {
        newestLast.put(id, new Ended(account, result, ""));
    }

    /** Records that a transaction was rolled back; the reason is empty for the usual ones. */
    void recordRollback(String id, ClientAccountId account, String reason) {
        Future<CallerResponse> gone =
                Future.failedFuture(
                        new ChivevaleException(
                                ResultCode.TRANSACTION_GONE,
                                Outcome.NOT_RUN,
                                "transaction "
                                        + id
                                        + " was rolled back"
                                        + (reason.isEmpty() ? "" : ": " + reason)));
        newestLast.put(id, new Ended(account, gone, reason));
    }

    /** Returns why a transaction was rolled back; empty for the usual reasons. */
    String reason(String id, ClientAccountId account) {
        Ended ended = newestLast.get(id);
        return ended == null || !ended.account().equals(account) ? "" : ended.reason();
    }

    /** Returns the result of a commit of a transaction that is not open. */
    Future<CallerResponse> repeatCommit(String id, ClientAccountId account) {
        Ended ended = newestLast.get(id);
        if (ended == null || !ended.account().equals(account)) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TRANSACTION_GONE,
                            Outcome.UNKNOWN,
                            "transaction " + id + " is unknown; it may have been committed"));
        }
        return ended.commitResult();
    }
}
