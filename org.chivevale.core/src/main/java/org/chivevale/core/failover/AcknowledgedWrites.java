package org.chivevale.core.failover;

/**
 * The highest position of one group that proxies have acknowledged to their callers, by their
 * reports.
 *
 * <p>Invariant: only the newest reported term counts; what was acknowledged in an earlier one was
 * carried over. Not thread safe.
 */
public final class AcknowledgedWrites {
    private long newestTerm;
    private long highestPosition;

    /**
     * Records a proxy's report.
     *
     * @param term the term in which the write was acknowledged
     * @param position its position
     */
    public void report(long term, long position) {
        if (term > newestTerm) {
            newestTerm = term;
            highestPosition = position;
        } else if (term == newestTerm) {
            highestPosition = Math.max(highestPosition, position);
        }
    }

    /**
     * Returns the highest position that was acknowledged in a term.
     *
     * @param term the term
     * @return 0 when none is known
     */
    public long highest(long term) {
        return term == newestTerm ? highestPosition : 0;
    }
}
