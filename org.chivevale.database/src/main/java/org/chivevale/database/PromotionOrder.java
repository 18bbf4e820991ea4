package org.chivevale.database;

import java.util.function.BooleanSupplier;

/**
 * Who orders a promotion.
 *
 * <p>Immutable. Invariant: the fencing token grows with each change of the leader.
 *
 * @param holder the control process that leads
 * @param fencingToken orders the leaders
 * @param stillDecides false once the lead is lost; asked right before the order leaves
 */
public record PromotionOrder(String holder, long fencingToken, BooleanSupplier stillDecides) {}
