package org.chivevale.proxy.internal.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.SessionConnection;
import org.chivevale.database.session.TransactionState;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.internal.relay.FakeRelayTransport;
import org.chivevale.proxy.internal.relay.FakeRelayTransport.FakeChannel;
import org.chivevale.proxy.internal.relay.RelayHostAddress;
import org.chivevale.proxy.internal.relay.RelayLinks;
import org.chivevale.wire.proto.RelayAnswer;
import org.chivevale.wire.proto.RelayReply;
import org.chivevale.wire.proto.RelayRequest;
import org.chivevale.wire.proto.RelayTransactionState;
import org.junit.jupiter.api.Test;

/**
 * Plays hosts that fail before and after a statement was sent. Guards against a write that runs at
 * two hosts, a wrong "not run", and a transaction that goes on at another host.
 */
class RelayedConnectionTest {
    private static final ClientAccountId ACCOUNT = new ClientAccountId("acc1");

    private final FakeRelayTransport transport = new FakeRelayTransport();
    private final RelayLinks links = new RelayLinks(transport, EventLoop::nowNanos);
    private final List<EndpointReply> replies = new ArrayList<>();
    private int failedHosts;
    private final RelayedConnection connection =
            new RelayedConnection(
                    new RelayedConnection.Relay(
                            links, new SimpleMeterRegistry(), () -> failedHosts++),
                    List.of(host(1), host(2)),
                    new MemberTarget(
                            new EndpointId("i-0"),
                            new GroupId("db1", 0),
                            new HostPort("10.0.0.1", 1)),
                    ACCOUNT);

    private static RelayHostAddress host(int number) {
        return new RelayHostAddress("h-" + number, 1, "r", new HostPort("10.0.0.9", number));
    }

    private void execute(Statement statement, Effect effect) {
        connection.execute(
                new Attempt("id1", statement, null, null, Map.of(), null, effect, 3, 1, 900),
                replies::add);
    }

    private void write() {
        execute(new Statement.Write("x v"), Effect.SINGLE_WRITE);
    }

    private FakeChannel channel(int host) {
        return transport.channels.get(host);
    }

    private static RelayAnswer.Builder answer(RelayReply reply) {
        return RelayAnswer.newBuilder().setReply(reply);
    }

    private List<Reply> codes() {
        return replies.stream().map(EndpointReply::reply).toList();
    }

    private void begin() {
        execute(new Statement.Begin(false), Effect.BEGIN);
        channel(1).accept();
        channel(1)
                .answerLast(answer(RelayReply.SUCCESS).setTransaction(RelayTransactionState.OPEN));
        replies.clear();
    }

    @Test
    void aStatementThatNoHostTookHasNotRun() {
        write();
        channel(1).refuse();
        channel(2).refuse();
        assertEquals(List.of(Reply.UNREACHABLE), codes());
        assertTrue(connection.haveAllHostsFailed());
        assertFalse(connection.isFromEndpoint());
        assertEquals(2, failedHosts);
    }

    @Test
    void aStatementMovesOnWhenAHostDoesNotTakeIt() {
        write();
        channel(1).accept();
        channel(1).answerLast(answer(RelayReply.MOVED));
        channel(2).accept();
        channel(2)
                .answerLast(
                        answer(RelayReply.SUCCESS)
                                .addRows("r\u00e9")
                                .setSignature("s")
                                .setPositionTerm(3)
                                .setPositionNumber(9)
                                .setFromEndpoint(true));
        assertEquals(List.of(Reply.SUCCESS), codes());
        assertEquals(List.of("r\u00e9"), replies.get(0).rows());
        assertEquals("3.9", replies.get(0).position().toString());
        assertTrue(connection.isFromEndpoint());
    }

    @Test
    void aStatementThatWasSentToAHostThatDiesIsNotSentAgain() {
        write();
        channel(1).accept();
        channel(1).cut();
        channel(1).reportClosed();
        assertEquals(List.of(Reply.LOST), codes());
        assertEquals(null, channel(2));
    }

    @Test
    void anAnswerThatArrivesAfterTheSenderGaveUpChangesNothing() {
        write();
        channel(1).accept();
        connection.close();
        channel(1).answer(1, answer(RelayReply.SUCCESS));
        assertEquals(List.of(Reply.LOST), codes());
        RelayRequest closing = channel(1).sent.get(1).getRelayRequest();
        assertTrue(closing.getClose());
        assertEquals(1, closing.getClosedCorrelationId());
    }

    @Test
    void anUnknownReplyCountsAsLost() {
        write();
        channel(1).accept();
        channel(1).answerLast(RelayAnswer.newBuilder().setReplyValue(99));
        assertEquals(List.of(Reply.LOST), codes());
    }

    @Test
    void aTransactionDoesNotGoOnAfterItsLinkWasOpenedAgain() {
        begin();
        channel(1).cut();
        channel(1).reportClosed();
        execute(new Statement.Commit(), Effect.COMMIT);
        assertEquals(List.of(Reply.REFUSED), codes());
        assertFalse(connection.usable());
    }

    @Test
    void aCommitThatWasSentToAHostThatDiesMayHaveRun() {
        begin();
        execute(new Statement.Commit(), Effect.COMMIT);
        channel(1).cut();
        channel(1).reportClosed();
        assertEquals(List.of(Reply.LOST), codes());
    }

    @Test
    void aRollbackEndsTheTransactionAtTheHost() {
        begin();
        connection.execute(SessionConnection.OWN_ID, new Statement.Rollback(), null, replies::add);
        assertEquals(List.of(Reply.SUCCESS), codes());
        assertEquals(TransactionState.NONE, replies.get(0).transaction());
        List<RelayRequest> sent =
                channel(1).sent.stream().map(frame -> frame.getRelayRequest()).toList();
        assertTrue(sent.get(1).getClose());
        assertEquals(sent.get(0).getTransactionId(), sent.get(1).getTransactionId());
    }
}
