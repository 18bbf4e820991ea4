package org.chivevale.endpoint.internal.postgres;

import java.io.IOException;

/**
 * A client broke the protocol; its connection is closed.
 *
 * <p>Immutable.
 */
final class ProtocolException extends IOException {
    ProtocolException(String message) {
        super(message);
    }
}
