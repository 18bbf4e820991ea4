package org.chivevale.control.internal.log;

import java.util.function.Consumer;
import org.chivevale.consensus.ReplicatedLog;

/**
 * The log of a process whose data folder cannot be opened yet: it takes no part and knows nothing.
 *
 * <p>Stateless and thread safe.
 */
final class UnopenedLog implements ReplicatedLog {
    @Override
    public void append(byte[] payload, Consumer<AppendResult> done) {
        done.accept(AppendResult.NOT_LEADER);
    }

    @Override
    public boolean isLeader() {
        return false;
    }

    @Override
    public String leader() {
        return "";
    }

    @Override
    public void close() {}
}
