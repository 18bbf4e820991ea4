package org.chivevale.proxy.internal.request;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.session.Mark;
import org.chivevale.core.session.SessionToken;
import org.chivevale.wire.proto.ForwardAnswer;
import org.chivevale.wire.proto.SessionMark;

/**
 * Converts responses to and from the messages that proxies exchange.
 *
 * <p>Invariant: decoding an encoded response yields an equal one, except for the repeated flag and
 * the age, which steps of interactive transactions never set. Stateless and thread safe.
 */
public final class ForwardAnswerCodec {
    private ForwardAnswerCodec() {}

    /**
     * Encodes a response for another proxy.
     *
     * @param response the response to a step of a transaction
     * @return the wire message
     */
    public static ForwardAnswer encode(CallerResponse response) {
        ForwardAnswer.Builder out =
                ForwardAnswer.newBuilder()
                        .setCodeName(response.code().name())
                        .setOutcomeName(response.outcome().name())
                        .setMessage(response.message())
                        .setSqlState(response.sqlState())
                        .setServedBy(response.servedBy());
        if (response.resultsJson() != null) {
            out.setHasResults(true).setResultsJson(ByteString.copyFrom(response.resultsJson()));
        }
        if (response.session() != null) {
            out.setHasSession(true);
            response.session()
                    .marks()
                    .forEach((group, mark) -> out.addMarks(encodeMark(group, mark)));
        }
        return out.build();
    }

    private static SessionMark encodeMark(String group, Mark mark) {
        return SessionMark.newBuilder()
                .setGroupId(group)
                .setTerm(mark.term())
                .setPosition(mark.position())
                .setPrimaryOnly(mark.primaryOnly())
                .build();
    }

    /**
     * Decodes a response from another proxy.
     *
     * @param in the wire message
     * @return the response
     */
    public static CallerResponse decode(ForwardAnswer in) {
        Map<String, Mark> marks = new TreeMap<>();
        for (SessionMark mark : in.getMarksList()) {
            marks.put(
                    mark.getGroupId(),
                    new Mark(mark.getTerm(), mark.getPosition(), mark.getPrimaryOnly()));
        }
        return new CallerResponse(
                ResultCode.valueOf(in.getCodeName()),
                Outcome.valueOf(in.getOutcomeName()),
                in.getMessage(),
                in.getSqlState(),
                in.getHasSession() ? new SessionToken(marks) : null,
                in.getHasResults() ? in.getResultsJson().toByteArray() : null,
                in.getServedBy(),
                false,
                -1);
    }
}
