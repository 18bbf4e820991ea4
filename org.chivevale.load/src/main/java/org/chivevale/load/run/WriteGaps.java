package org.chivevale.load.run;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest time between two acknowledged writes, per database group.
 *
 * <p>A gap only counts while writes were waiting: it runs from the later of the last
 * acknowledgement and the first write sent after it; writes that were given up do not end it. Used
 * by one thread.
 */
public final class WriteGaps {
    private final Map<Integer, Slot> slots = new HashMap<>();

    private static final class Slot {
        long waitingSinceNanos = -1;
        long longestNanos;
        int waiting;
        boolean failedSinceAcknowledgement;
    }

    void sent(int slot, long nowNanos) {
        Slot one = slots.computeIfAbsent(slot, key -> new Slot());
        if (one.waiting == 0 && !one.failedSinceAcknowledgement) {
            one.waitingSinceNanos = nowNanos;
        }
        one.waiting++;
    }

    void ended(int slot, boolean acknowledged, long nowNanos) {
        Slot one = slots.get(slot);
        one.waiting--;
        if (acknowledged) {
            one.longestNanos = Math.max(one.longestNanos, nowNanos - one.waitingSinceNanos);
            one.waitingSinceNanos = nowNanos;
        }
        one.failedSinceAcknowledgement = !acknowledged;
    }

    /**
     * Returns the longest gap of a slot.
     *
     * @param slot the slot
     * @return nanoseconds
     */
    public long longestNanos(int slot) {
        Slot one = slots.get(slot);
        return one == null ? 0 : one.longestNanos;
    }
}
