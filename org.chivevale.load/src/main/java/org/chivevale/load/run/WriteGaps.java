package org.chivevale.load.run;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest time between two acknowledged writes, per database group.
 *
 * <p>A gap is only counted while writes are waiting: it starts at the last acknowledgement or at
 * the first write sent after it, whichever is later. Writes that fail do not end it. Used by gap
 * thread.
 */
public final class WriteGaps {
    private final Map<Integer, SlotGap> slots = new HashMap<>();

    private static final class SlotGap {
        long waitingSinceNanos = -1;
        long longestNanos;
        int waiting;
        boolean failedSinceAcknowledgement;
    }

    void recordSent(int slot, long nowNanos) {
        SlotGap gap = slots.computeIfAbsent(slot, key -> new SlotGap());
        if (gap.waiting == 0 && !gap.failedSinceAcknowledgement) {
            gap.waitingSinceNanos = nowNanos;
        }
        gap.waiting++;
    }

    void recordEnd(int slot, boolean acknowledged, long nowNanos) {
        SlotGap gap = slots.get(slot);
        gap.waiting--;
        if (acknowledged) {
            gap.longestNanos = Math.max(gap.longestNanos, nowNanos - gap.waitingSinceNanos);
            gap.waitingSinceNanos = nowNanos;
        }
        gap.failedSinceAcknowledgement = !acknowledged;
    }

    /**
     * Returns the longest gap of a slot.
     *
     * @param slot number of the slot
     * @return nanoseconds; 0 when nothing was written
     */
    public long longestNanos(int slot) {
        SlotGap gap = slots.get(slot);
        return gap == null ? 0 : gap.longestNanos;
    }
}
