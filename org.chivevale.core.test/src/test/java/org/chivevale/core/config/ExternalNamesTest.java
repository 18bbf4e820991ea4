package org.chivevale.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.util.Checks;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.LogEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Names of other systems that are accepted but mixed up or unusable afterwards. */
class ExternalNamesTest {
    @ParameterizedTest
    @ValueSource(
            strings = {"9", "A", "a.b", "a/b", "a.0", ".", "-", "\"", "\u015f", "\ud83d\ude00"})
    void aGroupOfAnyVisibleNameIsParsedFromItsText(String name) {
        GroupId group = new GroupId(name, 7);
        assertEquals(group, GroupId.parse(group.toString()));
        assertEquals(name, new ClientAccountId(name).value());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", "a b", "a\tb", "a\n", "\r", "\u0000", "\u0085", "\u00a0", "\ud83d"})
    void aNameThatALineOfTextCannotCarryIsRefused(String name) {
        assertThrows(ChivevaleException.class, () -> new GroupId(name, 0));
        assertThrows(ChivevaleException.class, () -> new EndpointId(name));
        assertThrows(ChivevaleException.class, () -> new ClientAccountId(name));
    }

    @Test
    void aNameIsLimitedInLength() {
        String longest = "n".repeat(Checks.MAX_EXTERNAL_NAME_CHARS);
        assertEquals(longest, new EndpointId(longest).value());
        assertThrows(ChivevaleException.class, () -> new EndpointId(longest + "n"));
    }

    @Test
    void endpointsOfOneGroupAreNotListedForAnotherWhoseNameBeginsAlike() {
        Configuration configuration = new Configuration();
        configuration.apply(
                LogEntry.newBuilder()
                        .setVersion(1)
                        .addChanges(put("a.0", "e"))
                        .addChanges(put("a.0/b.0", "e"))
                        .addChanges(put("a.0.0", "e"))
                        .addChanges(put("a.00.0", "e"))
                        .build());
        for (String group : List.of("a.0", "a.0/b.0", "a.0.0", "a.00.0")) {
            assertEquals(
                    List.of(group),
                    configuration.endpoints(GroupId.parse(group)).stream()
                            .map(EndpointPut::getGroupId)
                            .toList());
        }
    }

    @Test
    void anEndpointsNameCannotEndAGroupInAKeyOfBoth() {
        assertThrows(ChivevaleException.class, () -> new EndpointId("b.0/e"));
    }

    private static Change put(String group, String endpoint) {
        return Change.newBuilder()
                .setEndpointPut(EndpointPut.newBuilder().setGroupId(group).setEndpointId(endpoint))
                .build();
    }
}
