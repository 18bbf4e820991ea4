package org.chivevale.load.check;

/**
 * A configuration version or a term of a group, as an observer saw it.
 *
 * <p>Immutable.
 *
 * @param observer name of the process that reported it
 * @param subject the configuration or the group that has the version
 * @param version the version or term
 */
public record VersionEvent(String observer, String subject, long version) {}
