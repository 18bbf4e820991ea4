package org.chivevale.core.route;

/**
 * What a read must see.
 *
 * <p>Immutable.
 *
 * @param primaryOnly true when only the primary's state will do
 * @param requiredPosition the lowest position that is fresh enough
 * @param writtenByNanos the monotonic time by which that position was written, or -1 if not known
 */
public record ReadDemand(boolean primaryOnly, long requiredPosition, long writtenByNanos) {}
