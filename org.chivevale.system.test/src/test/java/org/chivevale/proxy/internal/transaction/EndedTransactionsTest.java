package org.chivevale.proxy.internal.transaction;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.proxy.internal.request.CallerResponse;
import org.junit.jupiter.api.Test;

/**
 * Guards against a repeated commit being reported as without effect after the first one ran and its
 * response was lost.
 */
class EndedTransactionsTest {
    private static final ClientAccountId HOTEL = new ClientAccountId("hotel");
    private static final ClientAccountId BAKERY = new ClientAccountId("bakery");

    private final EndedTransactions ended = new EndedTransactions();

    @Test
    void aRepeatedCommitGetsTheResultOfTheFirst() {
        Promise<CallerResponse> first = Promise.promise();
        ended.recordCommit("proxy-1.a", HOTEL, first.future());
        Future<CallerResponse> repeated = ended.repeatCommit("proxy-1.a", HOTEL);
        CallerResponse response = CallerResponse.failure(ResultCode.OK, Outcome.RAN, "");

        first.complete(response);

        assertSame(response, repeated.result());
    }

    @Test
    void aTransactionThatWasRolledBackHasNoEffect() {
        ended.recordRollback("proxy-1.a", HOTEL, "");

        assertEquals(Outcome.NOT_RUN, outcomeOf(ended.repeatCommit("proxy-1.a", HOTEL)));
    }

    @Test
    void theOutcomeOfAnUnknownTransactionIsUnknown() {
        assertEquals(Outcome.UNKNOWN, outcomeOf(ended.repeatCommit("proxy-1.a", HOTEL)));
    }

    @Test
    void anotherAccountLearnsNothingOfATransaction() {
        CallerResponse response = CallerResponse.failure(ResultCode.OK, Outcome.RAN, "");
        ended.recordCommit("proxy-1.a", HOTEL, Future.succeededFuture(response));

        assertEquals(Outcome.UNKNOWN, outcomeOf(ended.repeatCommit("proxy-1.a", BAKERY)));
    }

    private static Outcome outcomeOf(Future<?> failed) {
        return ((ChivevaleException) failed.cause()).outcome();
    }
}
