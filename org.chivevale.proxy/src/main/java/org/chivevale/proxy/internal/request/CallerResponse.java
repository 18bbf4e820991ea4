package org.chivevale.proxy.internal.request;

import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.session.SessionToken;

/**
 * The response to a caller's request.
 *
 * <p>Immutable; the result bytes must not be modified.
 *
 * @param code the result code
 * @param outcome whether the request took effect
 * @param message details of a failure; empty otherwise
 * @param sqlState the SQLSTATE that the database reported; empty when there is none
 * @param session the state that later reads of the session must see; null when unchanged
 * @param resultsJson the results as a JSON array, or null
 * @param servedBy {@link #PRIMARY}, {@link #REPLICA}, or empty when no endpoint served it
 * @param repeated true when the results are those of an earlier run of the same request
 * @param ageMillis upper bound on the age of the data; -1 when unknown
 */
public record CallerResponse(
        ResultCode code,
        Outcome outcome,
        String message,
        String sqlState,
        SessionToken session,
        byte[] resultsJson,
        String servedBy,
        boolean repeated,
        long ageMillis) {
    /** Value of {@code servedBy} for a read or write that the primary served. */
    public static final String PRIMARY = "primary";

    /** Value of {@code servedBy} for a read that a replica served. */
    public static final String REPLICA = "replica";

    static CallerResponse success(
            SessionToken session,
            byte[] resultsJson,
            String servedBy,
            boolean repeated,
            long ageMillis) {
        return new CallerResponse(
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
     * Creates the response for a failed request.
     *
     * @param code the result code
     * @param outcome whether the request took effect
     * @param message details of the failure
     * @return a response without results
     */
    public static CallerResponse failure(ResultCode code, Outcome outcome, String message) {
        return new CallerResponse(code, outcome, message, "", null, null, "", false, -1);
    }

    /**
     * Creates the response for a failed request.
     *
     * @param failure the cause, with its result code and outcome
     * @return a response without results
     */
    public static CallerResponse failure(ChivevaleException failure) {
        return failure(failure.code(), failure.outcome(), failure.getMessage());
    }

    static CallerResponse statementFailure(String sqlState, String message) {
        return new CallerResponse(
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

    CallerResponse withSession(SessionToken newSession) {
        return new CallerResponse(
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
