package org.chivevale.proxy.internal.session;

import java.util.Map;
import java.util.function.BooleanSupplier;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.TermPosition;

/**
 * The session for which a statement runs.
 *
 * <p>Immutable.
 *
 * @param account the client account that it runs for
 * @param route the route from the caller's database name to a database
 * @param settings the session's settings by name
 * @param lastCommit the position of the session's last commit in the route's group
 * @param callerHasLeft tells whether nobody waits for the outcome any more
 */
record SessionContext(
        ClientAccountId account,
        Route route,
        Map<String, String> settings,
        TermPosition lastCommit,
        BooleanSupplier callerHasLeft) {}
