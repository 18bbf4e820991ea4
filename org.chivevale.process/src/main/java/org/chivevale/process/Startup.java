package org.chivevale.process;

import java.util.function.Supplier;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.ProcessLifetime;
import org.jboss.logging.Logger;

/**
 * Starts the services of a process, as often as it takes.
 *
 * <p>A start that fails for something that may pass, such as an address that is still in use, is
 * tried again, each time with the settings as they are then; {@link ProcessEnd} tells what does not
 * pass. Invariant: a failed attempt leaves no service running. Used by one thread.
 */
final class Startup {
    /** What is done about a start that has failed. */
    enum Decision {
        RETRY,
        END
    }

    /** Longer than a file takes to be written; settings that stay invalid are an error. */
    private static final long SETTINGS_PATIENCE_NANOS = 2_000_000_000L;

    private static final long RETRY_MILLIS = 200;
    private static final long REPORT_NANOS = 10_000_000_000L;

    private final Supplier<Kernel> assembly;
    private final Runnable onFailedAttempt;
    private long settingsInvalidSinceNanos;
    private boolean areSettingsInvalid;
    private String reported = "";
    private long reportedNanos;

    /**
     * Prepares a start.
     *
     * @param assembly reads the settings and returns a kernel that has not been started
     * @param onFailedAttempt called before another attempt
     */
    Startup(Supplier<Kernel> assembly, Runnable onFailedAttempt) {
        this.assembly = assembly;
        this.onFailedAttempt = onFailedAttempt;
    }

    /**
     * Starts the services, trying as often as it takes.
     *
     * @return the started kernel
     * @throws ChivevaleException or an error when waiting cannot help
     */
    Kernel run() {
        while (true) {
            try {
                Kernel kernel = assembly.get();
                kernel.start();
                return kernel;
            } catch (RuntimeException | Error e) {
                if (decide(e, System.nanoTime()) == Decision.END) {
                    throw e;
                }
                onFailedAttempt.run();
                ProcessLifetime.pause(RETRY_MILLIS);
            }
        }
    }

    /**
     * Decides about a failure.
     *
     * @param failure what an attempt has thrown
     * @param nowNanos the current time
     */
    Decision decide(Throwable failure, long nowNanos) {
        if (!isSettingsError(failure)) {
            areSettingsInvalid = false;
        } else if (!areSettingsInvalid) {
            areSettingsInvalid = true;
            settingsInvalidSinceNanos = nowNanos;
        }
        boolean stayInvalid =
                areSettingsInvalid
                        && nowNanos - settingsInvalidSinceNanos >= SETTINGS_PATIENCE_NANOS;
        if (stayInvalid || ProcessEnd.isFinal(failure)) {
            return Decision.END;
        }
        report(failure, nowNanos);
        return Decision.RETRY;
    }

    private static boolean isSettingsError(Throwable failure) {
        return failure instanceof ChivevaleException known
                && known.code() == ResultCode.SETTINGS_INVALID;
    }

    /** Logs a failure when it is new, and then from time to time. */
    private void report(Throwable failure, long nowNanos) {
        String text = failure.toString();
        if (text.equals(reported) && nowNanos - reportedNanos < REPORT_NANOS) {
            return;
        }
        reported = text;
        reportedNanos = nowNanos;
        Logger log = Logger.getLogger(Startup.class);
        if (failure instanceof ChivevaleException known) {
            log.warnf("cannot start yet, trying again: %s: %s", known.code(), known.getMessage());
        } else {
            log.errorf(failure, "cannot start yet, trying again: %s", text);
        }
    }
}
