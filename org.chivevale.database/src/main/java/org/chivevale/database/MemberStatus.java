package org.chivevale.database;

/**
 * What a member of a group says of itself.
 *
 * <p>Immutable.
 *
 * @param primary true when it runs as a primary
 * @param timeline its timeline; 0 for a replica, which does not say
 * @param position the highest log position that it holds
 */
public record MemberStatus(boolean primary, long timeline, long position) {}
