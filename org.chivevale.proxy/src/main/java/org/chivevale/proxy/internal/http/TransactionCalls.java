package org.chivevale.proxy.internal.http;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.session.SessionToken;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.request.CallerAnswer;
import org.chivevale.proxy.internal.request.RequestReader;
import org.chivevale.proxy.internal.transaction.ForwardService;
import org.chivevale.proxy.internal.transaction.TransactionService;

/**
 * Executes steps of interactive transactions on the proxy that owns the transaction.
 *
 * <p>Steps of transactions that another proxy owns are forwarded to it.
 *
 * <p>Used on the event loop.
 */
final class TransactionCalls {
    private final ProxySettings settings;
    private final TransactionService transactions;
    private final ForwardService forwards;

    TransactionCalls(
            ProxySettings settings, TransactionService transactions, ForwardService forwards) {
        this.settings = settings;
        this.transactions = transactions;
        this.forwards = forwards;
    }

    Future<CallerAnswer> begin(
            ClientAccountId account,
            String keyId,
            GroupId group,
            SessionToken session,
            long deadlineNanos) {
        return transactions
                .begin(account, keyId, group, session, deadlineNanos)
                .map(TransactionCalls::begun);
    }

    private static CallerAnswer begun(String id) {
        byte[] results = ("{\"transaction\":\"" + id + "\"}").getBytes(StandardCharsets.UTF_8);
        return new CallerAnswer(
                ResultCode.OK, Outcome.RAN, "", "", null, results, CallerAnswer.PRIMARY, false, -1);
    }

    Future<CallerAnswer> step(ClientAccountId account, String id, String action, Buffer body) {
        String owner = TransactionService.holder(id);
        if (owner.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.TRANSACTION_GONE, "'" + id + "' is not a transaction id");
        }
        if (owner.equals(settings.id())) {
            return transactions.step(account, id, action, RequestReader.parse(body));
        }
        return forwards.forward(owner, account, id, action, body);
    }

    int openCount() {
        return transactions.openCount();
    }
}
