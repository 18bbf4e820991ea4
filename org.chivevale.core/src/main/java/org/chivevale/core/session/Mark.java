package org.chivevale.core.session;

/**
 * What a session must see of one database group.
 *
 * <p>Immutable.
 *
 * @param term the primary's term under which the position was seen
 * @param position the lowest log position that a read must see
 * @param primaryOnly true after a write with an unknown outcome: reads go to the primary
 */
public record Mark(long term, long position, boolean primaryOnly) {
    public Mark {
        if (term < 0 || position < 0) {
            throw new IllegalArgumentException("term " + term + ", position " + position);
        }
    }

    /**
     * Joins two marks of the same group.
     *
     * @param other the other mark
     * @return the mark that demands what both demand
     */
    public Mark join(Mark other) {
        if (other.term != term) {
            return other.term > term ? other : this;
        }
        return new Mark(term, Math.max(position, other.position), primaryOnly || other.primaryOnly);
    }
}
