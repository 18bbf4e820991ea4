package org.chivevale.core.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.SecureRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.junit.jupiter.api.Test;

class ClientKeyTest {
    @Test
    void aKeyMatchesItsOwnHashOnly() {
        ClientKey key = ClientKey.random(new SecureRandom());
        ClientKey other = ClientKey.random(new SecureRandom());
        assertTrue(ClientKey.parse(key.reveal()).matches(key.hash()));
        assertFalse(key.matches(other.hash()));
    }

    @Test
    void theTextFormDoesNotShowTheSecret() {
        ClientKey key = ClientKey.random(new SecureRandom());
        assertFalse(key.toString().contains(key.reveal().split("_", 3)[2]));
    }

    @Property(seed = "20261204")
    void textWithoutTheKeyPrefixIsRejected(@ForAll String text) {
        if (text.startsWith("ck_")) {
            return;
        }
        ChivevaleException rejected =
                assertThrows(ChivevaleException.class, () -> ClientKey.parse(text));
        assertEquals(ResultCode.KEY_REFUSED, rejected.code());
    }
}
