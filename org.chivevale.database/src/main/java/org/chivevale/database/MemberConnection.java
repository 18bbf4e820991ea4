package org.chivevale.database;

import io.vertx.core.Future;
import java.util.List;
import org.chivevale.core.account.ClientAccountId;

/**
 * A connection over which control administers one member of a group.
 *
 * <p>Used on one event loop.
 */
public interface MemberConnection {
    /**
     * Asks a member, primary or replica.
     *
     * @return its status
     */
    Future<MemberStatus> memberStatus();

    /**
     * Makes a replica the primary; a primary stays one.
     *
     * @param order who wants it
     * @return its status afterwards
     */
    Future<MemberStatus> promote(PromotionOrder order);

    /**
     * Tells a replica whom to follow.
     *
     * @param host the primary's address
     * @param port the primary's port
     * @return completes when the member has taken it
     */
    Future<Void> follow(String host, int port);

    /**
     * Makes a replica follow nobody.
     *
     * @param term the newest term of the group
     * @return completes when it receives nothing more
     */
    Future<Void> cutOff(long term);

    /**
     * Makes a primary of an earlier term a replica, where the database can do that.
     *
     * @param term the term that replaced it
     * @return completes when it takes no more writes
     */
    default Future<Void> stepDown(long term) {
        return Future.succeededFuture();
    }

    /**
     * Prepares the member for client accounts.
     *
     * @param accounts who may come
     * @return completes when they may
     */
    Future<Void> provision(List<ClientAccountId> accounts);

    /**
     * Deletes records of old requests.
     *
     * @param beforeUnixMillis older ones go
     * @param atMost how many at most
     * @return how many went
     */
    Future<Integer> purgeRequests(long beforeUnixMillis, int atMost);

    /** Closes the connection. */
    void close();
}
