package org.chivevale.process;

import org.jboss.logging.Logger;

/**
 * Logs one line for each decision on a request, limited to a number of lines per second.
 *
 * <p>Invariant: never blocks its caller beyond the logger's own queue. Suppressed lines are
 * counted; the count is logged before the first line of a later second. Used on one thread.
 */
public final class DecisionLog {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final Logger logger;
    private final int linesPerSecond;
    private long secondStartNanos;
    private int linesThisSecond;
    private int suppressedLines;

    /**
     * Creates a log whose first second starts now.
     *
     * @param logger receives the lines
     * @param linesPerSecond maximum number of lines per second
     */
    public DecisionLog(Logger logger, int linesPerSecond) {
        this.logger = logger;
        this.linesPerSecond = linesPerSecond;
        this.secondStartNanos = BootClock.nanos();
    }

    /**
     * Logs a line, or suppresses it once the limit of this second is reached.
     *
     * @param nowNanos the current time of {@link BootClock}
     * @param format as of {@link String#format}
     * @param arguments values for the format specifiers
     */
    public void log(long nowNanos, String format, Object... arguments) {
        if (nowNanos - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = nowNanos;
            linesThisSecond = 0;
            if (suppressedLines > 0) {
                logger.infof("decisions left out of the log: %d", suppressedLines);
                suppressedLines = 0;
            }
        }
        if (linesThisSecond >= linesPerSecond) {
            suppressedLines++;
            return;
        }
        linesThisSecond++;
        logger.infof(format, arguments);
    }
}
