package org.chivevale.core.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.GroupId;

class SessionTokenProperties {
    private static final ClientAccountId HOTEL = new ClientAccountId("hotel");
    private static final ClientAccountId BAKERY = new ClientAccountId("bakery");
    private static final SessionTokenCodec CODEC = new SessionTokenCodec(new byte[] {1, 2, 3});

    @Provide
    Arbitrary<Mark> marks() {
        return Combinators.combine(
                        Arbitraries.longs().between(0, Integer.MAX_VALUE),
                        Arbitraries.longs().greaterOrEqual(0),
                        Arbitraries.of(true, false))
                .as(Mark::new);
    }

    @Provide
    Arbitrary<SessionToken> tokens() {
        Arbitrary<String> groups =
                Arbitraries.integers()
                        .between(0, 50)
                        .map(slot -> new GroupId("db", slot).toString());
        return Arbitraries.maps(groups, marks()).ofMaxSize(20).map(SessionToken::new);
    }

    @Property(seed = "20261204")
    void aTokenIsDecodedAsItWasEncoded(@ForAll("tokens") SessionToken token) {
        assertEquals(token, CODEC.decode(HOTEL, CODEC.encode(HOTEL, token)));
    }

    @Property(seed = "20261204")
    void aTokenOfAnotherAccountOrSecretIsRejected(@ForAll("tokens") SessionToken token) {
        String text = CODEC.encode(HOTEL, token);
        assertRejected(BAKERY, text);
        String foreign = new SessionTokenCodec(new byte[] {9}).encode(HOTEL, token);
        assertRejected(HOTEL, foreign);
    }

    @Property(seed = "20261204")
    void aTokenWithAChangedCharacterOrCutShortIsRejected(
            @ForAll("tokens") SessionToken token, @ForAll @IntRange(max = 10_000) int draw) {
        String text = CODEC.encode(HOTEL, token);
        int index = draw % (text.length() - 1);
        char other = text.charAt(index) == 'A' ? 'B' : 'A';
        assertRejected(HOTEL, text.substring(0, index) + other + text.substring(index + 1));
        assertRejected(HOTEL, text.substring(0, index));
    }

    @Property(seed = "20261204")
    void arbitraryTextIsRejected(@ForAll String text) {
        assertRejected(HOTEL, text);
    }

    @Property(seed = "20261204")
    void joiningNeverRequiresLess(@ForAll("marks") Mark a, @ForAll("marks") Mark b) {
        Mark joined = a.join(b);
        assertEquals(Math.max(a.term(), b.term()), joined.term());
        for (Mark one : new Mark[] {a, b}) {
            if (one.term() == joined.term()) {
                assertTrue(joined.position() >= one.position());
                assertTrue(joined.primaryOnly() || !one.primaryOnly());
            }
        }
        assertEquals(joined, joined.join(a).join(b));
    }

    @Property(seed = "20261204")
    void raisingOneGroupKeepsTheOtherMarks(
            @ForAll("tokens") SessionToken token, @ForAll("marks") Mark mark) {
        SessionToken raised = token.raise(new GroupId("other", 1), mark);
        for (Map.Entry<String, Mark> entry : token.marks().entrySet()) {
            assertEquals(entry.getValue(), raised.marks().get(entry.getKey()));
        }
    }

    private static void assertRejected(ClientAccountId account, String text) {
        ChivevaleException rejected =
                assertThrows(ChivevaleException.class, () -> CODEC.decode(account, text));
        assertEquals(ResultCode.TOKEN_INVALID, rejected.code());
    }
}
