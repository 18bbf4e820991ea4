package org.chivevale.core.route;

/**
 * The freshness that a read requires.
 *
 * <p>Immutable.
 *
 * @param primaryOnly true when only the primary may serve it
 * @param requiredPosition the lowest position that is fresh enough
 * @param writtenByNanos the monotonic time by which that position was written, or -1 if not known
 */
public record ReadRequirement(boolean primaryOnly, long requiredPosition, long writtenByNanos) {}
