package org.chivevale.core.account;

import org.chivevale.core.util.Checks;

/**
 * Id of a client account.
 *
 * <p>Immutable. An account that operators create has a strict name, which is also that of its
 * database role and schema.
 *
 * @param value the name
 */
public record ClientAccountId(String value) {
    public ClientAccountId {
        Checks.externalName("client account", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
