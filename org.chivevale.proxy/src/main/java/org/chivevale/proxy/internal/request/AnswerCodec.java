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
 * Carries answers between proxies.
 *
 * <p>Invariant: decoding what was encoded gives an equal answer. Stateless and thread safe.
 */
public final class AnswerCodec {
    private AnswerCodec() {}

    /**
     * Writes an answer.
     *
     * @param answer the answer
     * @return the message
     */
    public static ForwardAnswer encode(CallerAnswer answer) {
        ForwardAnswer.Builder out =
                ForwardAnswer.newBuilder()
                        .setCodeName(answer.code().name())
                        .setOutcomeName(answer.outcome().name())
                        .setMessage(answer.message())
                        .setSqlState(answer.sqlState())
                        .setServedBy(answer.servedBy());
        if (answer.resultsJson() != null) {
            out.setHasResults(true).setResultsJson(ByteString.copyFrom(answer.resultsJson()));
        }
        if (answer.session() != null) {
            out.setHasSession(true);
            answer.session().marks().forEach((group, mark) -> out.addMarks(message(group, mark)));
        }
        return out.build();
    }

    private static SessionMark message(String group, Mark mark) {
        return SessionMark.newBuilder()
                .setGroupId(group)
                .setTerm(mark.term())
                .setPosition(mark.position())
                .setPrimaryOnly(mark.primaryOnly())
                .build();
    }

    /**
     * Reads an answer.
     *
     * @param in the message
     * @return the answer
     */
    public static CallerAnswer decode(ForwardAnswer in) {
        Map<String, Mark> marks = new TreeMap<>();
        for (SessionMark mark : in.getMarksList()) {
            marks.put(
                    mark.getGroupId(),
                    new Mark(mark.getTerm(), mark.getPosition(), mark.getPrimaryOnly()));
        }
        return new CallerAnswer(
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
