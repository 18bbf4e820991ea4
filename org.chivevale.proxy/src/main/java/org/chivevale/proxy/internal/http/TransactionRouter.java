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
import org.chivevale.proxy.internal.request.CallerResponse;
import org.chivevale.proxy.internal.request.RequestParser;
import org.chivevale.proxy.internal.transaction.ForwardService;
import org.chivevale.proxy.internal.transaction.TransactionService;

/**
 * Routes steps of interactive transactions to the proxy that owns the transaction.
 *
 * <p>Used on the event loop.
 */
final class TransactionRouter {
    private final ProxySettings settings;
    private final TransactionService transactions;
    private final ForwardService forwards;

    TransactionRouter(
            ProxySettings settings, TransactionService transactions, ForwardService forwards) {
        this.settings = settings;
        this.transactions = transactions;
        this.forwards = forwards;
    }

    Future<CallerResponse> begin(
            ClientAccountId account,
            String keyId,
            GroupId group,
            SessionToken session,
            long deadlineNanos) {
        return transactions
                .begin(account, keyId, group, session, deadlineNanos)
                .map(TransactionRouter::beginResponse);
    }

    private static CallerResponse beginResponse(String id) {
        byte[] results = ("{\"transaction\":\"" + id + "\"}").getBytes(StandardCharsets.UTF_8);
        return new CallerResponse(
                ResultCode.OK,
                Outcome.RAN,
                "",
                "",
                null,
                results,
                CallerResponse.PRIMARY,
                false,
                -1);
    }

    Future<CallerResponse> executeStep(
            ClientAccountId account, String id, String action, Buffer body) {
        String owner = TransactionService.ownerOf(id);
        if (owner.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.TRANSACTION_GONE, "'" + id + "' is not a transaction id");
        }
        if (owner.equals(settings.id())) {
            return transactions.executeStep(account, id, action, RequestParser.parseObject(body));
        }
        return forwards.forward(owner, account, id, action, body);
    }

    int openCount() {
        return transactions.openCount();
    }
}
