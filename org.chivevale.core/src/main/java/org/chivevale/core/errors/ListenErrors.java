package org.chivevale.core.errors;

import java.net.SocketException;
import java.nio.channels.UnresolvedAddressException;

/**
 * Tells why a process cannot listen on an address.
 *
 * <p>An address that is in use, or that the VM does not have yet, may become available. One that
 * cannot be resolved, or that the process may not use, does not. Stateless and thread safe.
 */
public final class ListenErrors {
    /** How the operating system describes EACCES. */
    private static final String NOT_PERMITTED = "Permission denied";

    private ListenErrors() {}

    /**
     * Describes a failure to bind an address.
     *
     * @param address IP:PORT
     * @param cause what the attempt to bind has thrown
     * @return an exception with {@link ResultCode#ADDRESS_UNAVAILABLE}, or with {@link
     *     ResultCode#ADDRESS_FORBIDDEN} where a later attempt would fail as well
     */
    public static ChivevaleException cannotListen(Object address, Throwable cause) {
        boolean isForbidden =
                cause instanceof UnresolvedAddressException
                        || cause instanceof SocketException
                                && NOT_PERMITTED.equals(cause.getMessage());
        return new ChivevaleException(
                isForbidden ? ResultCode.ADDRESS_FORBIDDEN : ResultCode.ADDRESS_UNAVAILABLE,
                "cannot listen on " + address + ": " + cause);
    }
}
