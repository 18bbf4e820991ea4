package org.chivevale.proxy.internal.request;

import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.session.SessionToken;

/**
 * What a caller is told.
 *
 * <p>Immutable; the bytes are not to be changed.
 *
 * @param code the result code
 * @param outcome whether effects exist
 * @param message says more about a failure; empty otherwise
 * @param sqlState the database's code; empty when it has none
 * @param session what the session must see from now on, or null when that did not change
 * @param resultsJson the results as a JSON array, or null
 * @param servedBy primary, replica, or empty
 * @param repeated true when the results are those of an earlier run
 * @param ageMillis the largest age that the data can have; -1 when not known
 */
public record CallerAnswer(
        ResultCode code,
        Outcome outcome,
        String message,
        String sqlState,
        SessionToken session,
        byte[] resultsJson,
        String servedBy,
        boolean repeated,
        long ageMillis) {
    /** Said of a read or write that the primary served. */
    public static final String PRIMARY = "primary";

    /** Said of a read that a replica served. */
    public static final String REPLICA = "replica";

    static CallerAnswer ran(
            SessionToken session,
            byte[] resultsJson,
            String servedBy,
            boolean repeated,
            long ageMillis) {
        return new CallerAnswer(
                ResultCode.OK,
                Outcome.RAN,
                "",
                "",
                session,
                resultsJson,
                servedBy,
                repeated,
                ageMillis);
    }

    /**
     * Makes the answer for a failure.
     *
     * @param code the result code
     * @param outcome whether effects exist
     * @param message says more
     * @return the answer
     */
    public static CallerAnswer failed(ResultCode code, Outcome outcome, String message) {
        return new CallerAnswer(code, outcome, message, "", null, null, "", false, -1);
    }

    /**
     * Makes the answer for a failure.
     *
     * @param failure the failure
     * @return the answer
     */
    public static CallerAnswer failed(ChivevaleException failure) {
        return failed(failure.code(), failure.outcome(), failure.getMessage());
    }

    static CallerAnswer statementFailed(String sqlState, String message) {
        return new CallerAnswer(
                ResultCode.STATEMENT_FAILED,
                Outcome.NOT_RUN,
                message,
                sqlState,
                null,
                null,
                "",
                false,
                -1);
    }

    CallerAnswer withSession(SessionToken newSession) {
        return new CallerAnswer(
                code,
                outcome,
                message,
                sqlState,
                newSession,
                resultsJson,
                servedBy,
                repeated,
                ageMillis);
    }
}
