package org.chivevale.process;

import org.jboss.logging.Logger;

/**
 * Writes one line for each decision on a request, up to a number of lines a second.
 *
 * <p>Invariant: never blocks its caller beyond the logger's own queue; lines that were left out are
 * counted and named in the next second's first line. Used on one thread.
 */
public final class DecisionLog {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final Logger logger;
    private final int linesPerSecond;
    private long secondStartNanos;
    private int lines;
    private int leftOut;

    /**
     * Creates the log.
     *
     * @param logger where lines go
     * @param linesPerSecond how many at most
     */
    public DecisionLog(Logger logger, int linesPerSecond) {
        this.logger = logger;
        this.linesPerSecond = linesPerSecond;
        this.secondStartNanos = BootClock.nanos();
    }

    /**
     * Writes a line.
     *
     * @param nowNanos the time
     * @param format as of {@link String#format}
     * @param arguments what to fill in
     */
    public void line(long nowNanos, String format, Object... arguments) {
        if (nowNanos - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = nowNanos;
            lines = 0;
            if (leftOut > 0) {
                logger.infof("decisions left out of the log: %d", leftOut);
                leftOut = 0;
            }
        }
        if (lines >= linesPerSecond) {
            leftOut++;
            return;
        }
        lines++;
        logger.infof(format, arguments);
    }
}
