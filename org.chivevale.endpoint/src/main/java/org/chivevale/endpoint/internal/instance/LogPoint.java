package org.chivevale.endpoint.internal.instance;

/**
 * A place in a log.
 *
 * <p>Immutable.
 *
 * @param position the log position
 * @param timeline the timeline
 * @param origin which promotion began the timeline
 */
public record LogPoint(long position, long timeline, String origin) {}
