package org.chivevale.core.session;

/**
 * The log position of one database group that a session's reads must see.
 *
 * <p>Immutable.
 *
 * @param term the primary's term in which the position was seen
 * @param position the lowest log position that a read must see
 * @param primaryOnly true after a write with an unknown outcome: reads go to the primary
 */
public record Mark(long term, long position, boolean primaryOnly) {
    public Mark {
        if (term < 0 || position < 0) {
            throw new IllegalArgumentException(
                    "term " + term + " or position " + position + " is negative");
        }
    }

    /**
     * Joins two marks of the same group.
     *
     * @param other the other mark
     * @return the mark that requires what both require; of different terms, the later one
     */
    public Mark join(Mark other) {
        if (other.term != term) {
            return other.term > term ? other : this;
        }
        return new Mark(term, Math.max(position, other.position), primaryOnly || other.primaryOnly);
    }
}
