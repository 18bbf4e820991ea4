package org.chivevale.proxy.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.proxy.internal.relay.FakeRelayTransport.FakeChannel;
import org.chivevale.proxy.internal.relay.RelayOutcome.Kind;
import org.chivevale.wire.proto.RelayAnswer;
import org.chivevale.wire.proto.RelayEffect;
import org.chivevale.wire.proto.RelayReply;
import org.chivevale.wire.proto.RelayRequest;
import org.junit.jupiter.api.Test;

/**
 * Plays the links to connection hosts that die, freeze, drain and answer twice. Guards against a
 * request that may have run being reported as not sent, and against two outcomes of one request.
 */
class RelayLinksTest {
    private static final long MILLI = 1_000_000;
    private static final RelayRequest REQUEST = RelayRequest.getDefaultInstance();

    private final FakeRelayTransport transport = new FakeRelayTransport();
    private final RelayHostAddress host = host(1);
    private final RelayHostAddress other = host(2);
    private final List<RelayOutcome> outcomes = new ArrayList<>();
    private long nowNanos;
    private final RelayLinks links = new RelayLinks(transport, () -> nowNanos);

    private static RelayHostAddress host(int number) {
        return new RelayHostAddress("h-" + number, 1, "r", new HostPort("10.0.0.1", number));
    }

    private static RelayAnswer.Builder reply(RelayReply code) {
        return RelayAnswer.newBuilder().setReply(code);
    }

    private FakeChannel channel() {
        return transport.channels.get(1);
    }

    private long send(RelayRequest request) {
        long id = links.nextId();
        links.send(host, id, request, outcomes::add);
        return id;
    }

    private FakeChannel open() {
        send(REQUEST);
        FakeChannel opened = channel();
        opened.accept();
        opened.answer(1, reply(RelayReply.SUCCESS));
        outcomes.clear();
        return opened;
    }

    private List<Kind> kinds() {
        return outcomes.stream().map(RelayOutcome::kind).toList();
    }

    @Test
    void aRequestToAHostThatCannotBeReachedHasNotRun() {
        send(REQUEST);
        channel().refuse();
        assertEquals(List.of(Kind.NOT_SENT), kinds());
        assertFalse(links.isUsable(host));
    }

    @Test
    void aRequestThatWasWrittenBeforeTheLinkClosedMayHaveRun() {
        FakeChannel opened = open();
        send(REQUEST);
        opened.cut();
        opened.reportClosed();
        assertEquals(List.of(Kind.LOST), kinds());
    }

    /** The end of the link is known to the channel before its event arrives. */
    @Test
    void aRequestAfterTheEndOfALinkGoesToANewOne() {
        FakeChannel opened = open();
        long before = links.generation(host);
        send(REQUEST);
        opened.cut();
        send(REQUEST);
        assertEquals(List.of(Kind.LOST), kinds());
        opened.reportClosed();
        channel().accept();
        assertEquals(1, channel().sent.size());
        assertNotEquals(before, links.generation(host));
        assertEquals(List.of(Kind.LOST), kinds());
    }

    @Test
    void aSecondAnswerToARequestChangesNothing() {
        FakeChannel opened = open();
        long id = send(REQUEST);
        opened.answer(id, reply(RelayReply.SUCCESS));
        opened.answer(id, reply(RelayReply.MOVED));
        assertEquals(List.of(Kind.ANSWERED), kinds());
        assertNull(links.abandon(host, id, REQUEST));
    }

    @Test
    void aHostThatIsSilentBeyondTheLimitsOfAStatementIsAvoidedForASecond() {
        FakeChannel opened = open();
        long first = send(REQUEST);
        nowNanos += 300 * MILLI;
        opened.answer(send(REQUEST), reply(RelayReply.SUCCESS));
        nowNanos += 200 * MILLI;
        assertEquals(RelayOutcome.LOST, links.abandon(host, first, REQUEST));
        assertTrue(links.isUsable(host), "it has answered another request meanwhile");
        long second = send(REQUEST);
        nowNanos += 500 * MILLI;
        assertEquals(RelayOutcome.LOST, links.abandon(host, second, REQUEST));
        assertFalse(links.isUsable(host));
        ClientAccountId account = new ClientAccountId("acc");
        assertEquals(other, links.rank(account, List.of(host, other)).get(0));
        nowNanos += 1_000 * MILLI;
        assertTrue(links.isUsable(host));
    }

    @Test
    void aFrozenHostIsAvoidedBeforeItsStatementsTimeOut() {
        FakeChannel opened = open();
        send(REQUEST);
        nowNanos += 200 * MILLI;
        links.tick();
        long ping = opened.sent.get(opened.sent.size() - 1).getCorrelationId();
        assertTrue(opened.sent.get(opened.sent.size() - 1).getRelayRequest().getClose());
        opened.answer(ping, reply(RelayReply.SUCCESS));
        nowNanos += 350 * MILLI;
        links.tick();
        assertTrue(links.isUsable(host), "it has answered a ping");
        nowNanos += 100 * MILLI;
        links.tick();
        assertFalse(links.isUsable(host));
        assertEquals(List.of(), kinds());
    }

    @Test
    void anAbandonedRequestThatWasNeverWrittenHasNotRun() {
        long id = send(REQUEST);
        assertEquals(RelayOutcome.NOT_SENT, links.abandon(host, id, REQUEST));
        channel().accept();
        assertTrue(channel().sent.isEmpty());
    }

    @Test
    void aDrainingHostGetsTheStatementsOfItsTransactionsOnly() {
        FakeChannel opened = open();
        opened.answer(0, reply(RelayReply.MOVED));
        int sent = opened.sent.size();
        send(REQUEST);
        send(
                RelayRequest.newBuilder()
                        .setTransactionId(5)
                        .setEffect(RelayEffect.EFFECT_BEGIN)
                        .build());
        assertEquals(List.of(Kind.NOT_SENT, Kind.NOT_SENT), kinds());
        send(
                RelayRequest.newBuilder()
                        .setTransactionId(4)
                        .setEffect(RelayEffect.IN_TRANSACTION)
                        .build());
        assertEquals(sent + 1, opened.sent.size());
    }

    @Test
    void aLinkThatNoEndpointNeedsStaysOpenForItsTransactions() {
        FakeChannel opened = open();
        links.onTransactionBegun(host);
        links.retain(Set.of());
        assertTrue(opened.isOpen());
        links.onTransactionEnded(host);
        links.retain(Set.of());
        assertFalse(opened.isOpen());
    }

    @Test
    void theRequestsOfAnAccountGoToOneHost() {
        List<RelayHostAddress> hosts = List.of(host(1), host(2), host(3));
        List<RelayHostAddress> reversed = List.of(host(3), host(2), host(1));
        for (int i = 0; i < 20; i++) {
            ClientAccountId account = new ClientAccountId("acc" + i);
            assertEquals(links.rank(account, hosts), links.rank(account, reversed));
        }
    }
}
