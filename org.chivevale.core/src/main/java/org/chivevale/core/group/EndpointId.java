package org.chivevale.core.group;

import org.chivevale.core.util.Checks;

/**
 * Id of an endpoint: one database server process.
 *
 * <p>Immutable.
 *
 * @param value the name
 */
public record EndpointId(String value) {
    public EndpointId {
        Checks.name("endpoint", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
