package org.chivevale.database;

/**
 * Status of a group's member as it reports it.
 *
 * <p>Immutable.
 *
 * @param primary true when it runs as a primary
 * @param timeline its timeline; 0 for a replica, which does not report it
 * @param position the highest log position that it holds
 */
public record MemberStatus(boolean primary, long timeline, long position) {}
