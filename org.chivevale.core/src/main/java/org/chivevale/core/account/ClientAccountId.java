package org.chivevale.core.account;

import org.chivevale.core.util.Checks;

/**
 * Id of a client account, also the name of its database role and schema.
 *
 * <p>Immutable.
 *
 * @param value the name
 */
public record ClientAccountId(String value) {
    public ClientAccountId {
        Checks.name("client account", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
