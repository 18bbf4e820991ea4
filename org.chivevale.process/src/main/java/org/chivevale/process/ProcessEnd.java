package org.chivevale.process;

import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Decides which failures end a process, and ends it.
 *
 * <p>A process ends by itself only for what no waiting can mend. Settings that are invalid may be
 * in the middle of being written; {@link Startup} gives them some time. Stateless and thread safe.
 */
public final class ProcessEnd {
    private static final int SETTINGS_STATUS = 2;
    private static final int FAILURE_STATUS = 1;

    private ProcessEnd() {}

    /**
     * Tells whether a failure would be the same after any time.
     *
     * @param failure what an attempt has thrown
     * @return true for stored data that is damaged, an address that the process may not use, and an
     *     incomplete installation
     */
    public static boolean isFinal(Throwable failure) {
        if (failure instanceof ChivevaleException known) {
            return known.code() == ResultCode.STORE_DAMAGED
                    || known.code() == ResultCode.ADDRESS_FORBIDDEN;
        }
        return failure instanceof LinkageError;
    }

    /**
     * Ends the process from another thread, so that its services can stop; prints one line that
     * names the cause.
     *
     * @param cause the failure
     */
    public static void endSoon(Throwable cause) {
        new Thread(() -> end(cause), "end").start();
    }

    /** Prints one line that names the cause, and exits with status 2 for settings, otherwise 1. */
    static void end(Throwable cause) {
        ChivevaleException known =
                cause instanceof ChivevaleException coded
                        ? coded
                        : new ChivevaleException(ResultCode.INTERNAL, cause.toString());
        String text = known.getMessage().replace(System.lineSeparator(), "; ");
        System.err.println(known.code().number() + " " + known.code() + ": " + text);
        System.exit(known.code() == ResultCode.SETTINGS_INVALID ? SETTINGS_STATUS : FAILURE_STATUS);
    }
}
