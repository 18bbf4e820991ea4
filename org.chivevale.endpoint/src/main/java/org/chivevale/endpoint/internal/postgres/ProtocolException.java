package org.chivevale.endpoint.internal.postgres;

import java.io.IOException;

/**
 * Violation of the protocol by a client; its connection is closed.
 *
 * <p>Immutable.
 */
final class ProtocolException extends IOException {
    ProtocolException(String message) {
        super(message);
    }
}
