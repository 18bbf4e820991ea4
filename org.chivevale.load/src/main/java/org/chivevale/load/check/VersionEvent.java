package org.chivevale.load.check;

/**
 * A configuration version or a group's term, as an observer saw it.
 *
 * <p>Immutable.
 *
 * @param observer who saw it
 * @param what names what has the version
 * @param version the version or term
 */
public record VersionEvent(String observer, String what, long version) {}
