package org.chivevale.core.errors;

/**
 * Numbered result of a request, an operator's call or a process's start.
 *
 * <p>Invariants: numbers never change and are never reused; {@code docs/result-codes.md} lists
 * each. Immutable.
 */
public enum ResultCode {
    OK(0, 200, "The request ran."),
    MALFORMED_REQUEST(1001, 400, "The request's body, path or a field is not understood."),
    BODY_TOO_LARGE(1002, 413, "The request's body is above the limit."),
    DATABASE_UNKNOWN(1003, 404, "No such database, or the client account has no access to it."),
    SLOT_UNKNOWN(1004, 400, "The database has no such slot."),
    TOKEN_INVALID(1005, 400, "The session token is forged, cut, or another client account's."),
    REQUEST_ID_INVALID(1006, 400, "The request id is not a UUID of version 7."),
    REQUEST_ID_EXPIRED(1007, 409, "The request id's time is outside the window that is kept."),
    REQUEST_ID_REUSED(1008, 409, "The request id came before with a different body."),
    REQUEST_ID_MISSING(1009, 400, "A request that is not repeatable needs a request id."),
    STATEMENT_FORBIDDEN(1010, 403, "The statement is of a kind that callers may not run."),
    TOO_MANY_STATEMENTS(1011, 400, "The request has more statements than the limit."),
    STATEMENT_TOO_LARGE(1012, 413, "A statement or its parameters are above the limit."),
    PARAMETER_INVALID(1013, 400, "A parameter's type is unknown or its value doesn't fit it."),
    ROUTE_UNKNOWN(1014, 404, "There is no such path or open route."),
    SESSION_STATE_LOST(1015, 409, "The session saw a state that was lost with its primary."),
    KEY_MISSING(2001, 401, "The request carries no key."),
    KEY_REFUSED(2002, 401, "The key is unknown or was withdrawn."),
    OPERATOR_REFUSED(2003, 401, "The operator's key is unknown."),
    ROLE_INSUFFICIENT(2004, 403, "The operator's role does not allow the action."),
    CREDENTIAL_REFUSED(2005, 401, "The announcement's credential is not the database's."),
    REGION_NOT_ALLOWED(2006, 403, "No endpoint is in a region where the request may run."),
    RATE_EXCEEDED(3001, 429, "The client account is above its rate and burst."),
    QUEUE_FULL(3002, 503, "The client account's queue for the endpoint is full."),
    DEADLINE_PASSED(3003, 504, "The deadline passed before the request was sent to an endpoint."),
    TOO_MANY_TRANSACTIONS(3004, 429, "The client account has too many open transactions."),
    RATE_OWNER_MISSING(3005, 503, "The owner of the client account's rate did not answer in time."),
    TOO_MANY_CONNECTIONS(3006, 503, "The proxy has too many open connections."),
    LEASE_MISSING(4001, 503, "The proxy has no fleet lease."),
    PRIMARY_MISSING(4002, 503, "The group has no primary at the moment."),
    ENDPOINT_MISSING(4003, 503, "No endpoint can serve the request."),
    OUTCOME_UNKNOWN(4004, 504, "The request was sent and its end was not seen."),
    DRAINING(4005, 503, "The proxy is leaving and takes no new work."),
    TRANSACTION_GONE(4006, 410, "The transaction is unknown, ended, or past its time limit."),
    CONNECTION_LOST(4007, 503, "The endpoint's connection was lost before any effect."),
    STATEMENT_FAILED(5001, 422, "The database refused the statement; see sqlstate."),
    ANSWER_TOO_LARGE(5002, 413, "The answer is above the limit of rows or bytes."),
    INTENT_INVALID(6001, 400, "The intent is not understood or names what does not exist."),
    PLAN_UNKNOWN(6002, 404, "There is no such plan, or it expired before it was confirmed."),
    VERSION_CONFLICT(6003, 409, "The configuration changed after the plan was made."),
    ANNOUNCEMENT_INVALID(6004, 400, "The announcement is not understood."),
    SETTINGS_INVALID(7001, 500, "The settings file has errors."),
    STORE_DAMAGED(7002, 500, "A stored record is damaged before the end of its file."),
    STORE_LOCKED(7003, 500, "Another process uses the data folder."),
    STORE_FAILED(7004, 500, "The data folder can't be written."),
    NOT_LEADER(7005, 503, "This control process can't decide at the moment."),
    ADDRESS_UNAVAILABLE(7006, 500, "The process can't listen on an address."),
    ADDRESS_FORBIDDEN(7007, 500, "An address is none, or the process may not listen on it."),
    INTERNAL(9001, 500, "An internal error.");

    private final int number;
    private final int httpStatus;
    private final String meaning;

    ResultCode(int number, int httpStatus, String meaning) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.meaning = meaning;
    }

    /**
     * Returns the published number.
     *
     * @return the number, unique among codes
     */
    public int number() {
        return number;
    }

    /**
     * Returns the status of an HTTP response with this code.
     *
     * @return an HTTP status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the meaning as the table of codes has it.
     *
     * @return one sentence
     */
    public String meaning() {
        return meaning;
    }
}
