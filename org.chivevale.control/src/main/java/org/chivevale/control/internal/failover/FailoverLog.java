package org.chivevale.control.internal.failover;

import io.vertx.core.Future;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Configuration;
import org.chivevale.database.PromotionOrder;

/**
 * What {@link GroupFailover} needs of the replicated log.
 *
 * <p>Used on the event loop.
 */
interface FailoverLog {
    /**
     * Returns the configuration that results from the committed entries.
     *
     * @return the live object, which callers must not change
     */
    Configuration configuration();

    /**
     * Appends an entry after all earlier proposals have ended.
     *
     * @param changeBuilder builds the changes from the configuration at that time
     * @return the version of the entry, or 0 when there was nothing to change
     */
    Future<Long> propose(LogService.ChangeBuilder changeBuilder);

    /**
     * Creates the authority for a promotion.
     *
     * @return the order of this process in its current term as leader
     */
    PromotionOrder promotionOrder();

    /**
     * Adapts the service.
     *
     * @param log the service
     * @param operator who is named as the author of the entries
     * @return the log
     */
    static FailoverLog of(LogService log, String operator) {
        return new FailoverLog() {
            @Override
            public Configuration configuration() {
                return log.state().configuration();
            }

            @Override
            public Future<Long> propose(LogService.ChangeBuilder changeBuilder) {
                return log.propose(operator, "", changeBuilder);
            }

            @Override
            public PromotionOrder promotionOrder() {
                return new PromotionOrder(log.processId(), log.state().term(), log::isLeader);
            }
        };
    }
}
