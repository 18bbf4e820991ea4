package org.chivevale.database;

import io.vertx.core.Future;
import java.util.List;
import org.chivevale.core.account.ClientAccountId;

/**
 * A connection that control uses to administer one member of a group.
 *
 * <p>Used on one event loop.
 */
public interface MemberConnection {
    /**
     * Queries the status of a member, primary or replica.
     *
     * @return the member's status
     */
    Future<MemberStatus> memberStatus();

    /**
     * Promotes a replica to primary; has no effect on a primary.
     *
     * @param order the control process that orders it, with its fencing token
     * @return the member's status afterwards
     */
    Future<MemberStatus> promote(PromotionOrder order);

    /**
     * Makes a member replicate from a primary.
     *
     * @param host the primary's host name or IP address
     * @param port the primary's port
     * @return completes when the setting is in force
     */
    Future<Void> follow(String host, int port);

    /**
     * Stops a replica from receiving the log of any primary.
     *
     * @param term the newest term of the group
     * @return completes when the replica receives no more records
     */
    Future<Void> stopReplication(long term);

    /**
     * Demotes the primary of an earlier term, where the database supports it.
     *
     * @param term the term that replaced the member's own
     * @return completes when the member accepts no more writes
     */
    default Future<Void> stepDown(long term) {
        return Future.succeededFuture();
    }

    /**
     * Creates what client accounts need on the member, such as roles and schemas.
     *
     * @param accounts the accounts to provision
     * @return completes when the accounts can be used
     */
    Future<Void> provision(List<ClientAccountId> accounts);

    /**
     * Deletes the records of old requests.
     *
     * @param beforeUnixMillis records created before this time are deleted
     * @param atMost the maximum number of records to delete
     * @return the number of deleted records
     */
    Future<Integer> purgeRequests(long beforeUnixMillis, int atMost);

    /** Closes the connection. */
    void close();
}
