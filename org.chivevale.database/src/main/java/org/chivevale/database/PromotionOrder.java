package org.chivevale.database;

import java.util.function.BooleanSupplier;

/**
 * Authority of a control process to order a promotion.
 *
 * <p>Immutable. Invariant: the fencing token increases with each change of the leader.
 *
 * @param holder the control process that is the leader
 * @param fencingToken increases from leader to leader, so that stale orders can be rejected
 * @param isStillLeader false once leadership is lost; checked right before the order is sent
 */
public record PromotionOrder(String holder, long fencingToken, BooleanSupplier isStillLeader) {}
