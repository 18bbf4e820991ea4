package org.chivevale.core.group;

/**
 * A position in the log of a database group: the primary's term and a number that grows with
 * commits.
 *
 * <p>Immutable.
 *
 * @param term the term of the primary that wrote it
 * @param number grows with each commit
 */
public record TermPosition(long term, long number) implements Comparable<TermPosition> {
    /** Before every commit. */
    public static final TermPosition NONE = new TermPosition(0, 0);

    @Override
    public int compareTo(TermPosition other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm != 0 ? byTerm : Long.compare(number, other.number);
    }

    /**
     * Returns the later of two positions.
     *
     * @param other the other one
     * @return the later one
     */
    public TermPosition max(TermPosition other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public String toString() {
        return term + "." + number;
    }
}
