package org.chivevale.endpoint.internal.instance;

/**
 * Point in the history of a log.
 *
 * <p>Immutable.
 *
 * @param position the log position
 * @param timeline the timeline
 * @param origin identifies the promotion that began the timeline
 */
public record LogPoint(long position, long timeline, String origin) {}
