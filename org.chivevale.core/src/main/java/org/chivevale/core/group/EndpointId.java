package org.chivevale.core.group;

import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.util.Checks;

/**
 * Id of an endpoint: one database server process.
 *
 * <p>Immutable. Invariant: the name has no '/', which ends a group in keys of group and endpoint.
 *
 * @param value the name
 */
public record EndpointId(String value) {
    public EndpointId {
        Checks.externalName("endpoint", value);
        if (value.indexOf('/') >= 0) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, "endpoint '" + value + "' contains '/'");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
