package org.chivevale.core.route;

/**
 * What a proxy knows of one member that could serve a read.
 *
 * <p>Immutable.
 *
 * @param primary true for the group's primary
 * @param distance 0 in the same data centre, 1 in the same region, 2 elsewhere
 * @param waiting requests of this proxy that run or wait there
 * @param connections how many connections this proxy may hold there
 * @param responseMillis usual time of an answer, without the way
 * @param fresh true when it is known to hold the wanted position
 * @param avoided true when it lately refused, lagged or was silent
 */
public record MemberView(
        boolean primary,
        int distance,
        int waiting,
        int connections,
        double responseMillis,
        boolean fresh,
        boolean avoided) {}
