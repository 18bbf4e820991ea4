package org.chivevale.control.internal.log;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.chivevale.control.ControlSettings;
import org.chivevale.control.SingleControl;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.ProcessLifetime;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that waits for its data folder and takes the time of its own start for
 * the end of the process that has used the folder until then, whose promises still bind it.
 */
class LateFolderTest {
    private static final long DEADLINE_MILLIS = 60_000;
    private static final long POLL_MILLIS = 20;
    private static final int LOCKED_MILLIS = 500;

    @TempDir private Path folder;

    private LogService start(Kernel kernel) {
        HostPort address = new HostPort("127.0.0.1", 7001);
        ControlSettings settings =
                SingleControl.replicated(
                        address,
                        folder,
                        new ControlSettings.Replication(true, List.of(address), 1));
        LogService log = new LogService(settings);
        kernel.register(EventLoop.NAME, new EventLoop())
                .register(LogService.NAME, log, EventLoop.NAME)
                .start();
        return log;
    }

    private static boolean leads(Kernel kernel, LogService log) {
        AtomicBoolean leads = new AtomicBoolean();
        kernel.find(EventLoop.NAME, EventLoop.class).runAndWait(() -> leads.set(log.isLeader()));
        return leads.get();
    }

    private static void awaitLead(Kernel kernel, LogService log) {
        long endMillis = System.currentTimeMillis() + DEADLINE_MILLIS;
        while (!leads(kernel, log)) {
            assertTrue(System.currentTimeMillis() < endMillis, "no leader");
            ProcessLifetime.pause(POLL_MILLIS);
        }
    }

    @Test
    void theProcessThatUsedTheFolderCountsAsEndedOnlyOnceTheFolderIsFree() throws Exception {
        Kernel earlier = new Kernel();
        awaitLead(earlier, start(earlier));
        earlier.stop();
        Kernel kernel = new Kernel();
        long freedNanos;
        LogService log;
        try (FileChannel channel =
                        FileChannel.open(folder.resolve("LOCK"), StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            assertTrue(lock.isValid());
            log = start(kernel);
            ProcessLifetime.pause(LOCKED_MILLIS);
            assertFalse(leads(kernel, log));
            freedNanos = EventLoop.nowNanos();
        }
        awaitLead(kernel, log);
        long endNanos = log.earlierLeaderEndNanos(EventLoop.nowNanos());
        assertTrue(endNanos - freedNanos >= 0, "assumed end before the folder was free");
        kernel.stop();
    }
}
