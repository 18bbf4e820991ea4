package org.chivevale.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.junit.jupiter.api.Test;

class SettingsTest {
    @Test
    void eachErrorNamesFileLineKeyAndTheAcceptedValues() {
        Settings settings =
                Settings.parse(
                        "proxy.toml", "id = \"p\"\nlisten = \"nowhere\"\nrenew_ms = 5\nlimt = 3\n");
        settings.text("id", "a name");
        settings.address("listen");
        settings.number("renew_ms", 10, 20, 30);
        settings.text("region", "a name");
        ChivevaleException rejected = assertThrows(ChivevaleException.class, settings::check);
        assertEquals(ResultCode.SETTINGS_INVALID, rejected.code());
        String newline = System.lineSeparator();
        assertEquals(
                "proxy.toml:2: listen is \"nowhere\"; accepted: \"IP:PORT\""
                        + newline
                        + "proxy.toml:3: renew_ms is 5; accepted: a whole number from 20 to 30"
                        + newline
                        + "proxy.toml:1: region is missing; accepted: a name"
                        + newline
                        + "proxy.toml:4: limt is not a known setting",
                rejected.getMessage());
    }

    @Property(seed = "20261204")
    void anyTextGivesValuesOrErrors(@ForAll String text) {
        Settings settings = Settings.parse("file", text);
        settings.text("id", "fallback", "a name");
        try {
            settings.check();
        } catch (ChivevaleException e) {
            assertTrue(e.getMessage().startsWith("file:"));
        }
    }
}
