package org.chivevale.process;

import com.sun.jna.FunctionMapper;
import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;
import com.sun.jna.Platform;
import com.sun.jna.Pointer;
import java.util.Map;

/**
 * A steady clock that goes on while the VM is suspended.
 *
 * <p>Leases count on it: the usual steady clock of Java stands still during a suspension, and the
 * time of day may jump. Reads CLOCK_BOOTTIME of Linux; elsewhere it falls back to {@link
 * System#nanoTime}. Thread safe.
 */
public final class BootClock {
    private static final int CLOCK_BOOTTIME = 7;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int TIMESPEC_BYTES = 16;
    private static final ThreadLocal<Memory> BUFFER =
            ThreadLocal.withInitial(() -> new Memory(TIMESPEC_BYTES));

    /** Bound to the C library when the clock is first read. */
    private static final class LibC {
        static {
            FunctionMapper names = (library, method) -> "clock_gettime";
            Map<String, Object> options = Map.of(Library.OPTION_FUNCTION_MAPPER, names);
            Native.register(LibC.class, NativeLibrary.getInstance("c", options));
        }

        private LibC() {}

        static native int readClock(int clock, Pointer time);
    }

    private BootClock() {}

    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary start, the same for all processes of the VM
     */
    public static long nanos() {
        if (!Platform.isLinux()) {
            return System.nanoTime();
        }
        Memory buffer = BUFFER.get();
        if (LibC.readClock(CLOCK_BOOTTIME, buffer) != 0) {
            throw new IllegalStateException("CLOCK_BOOTTIME cannot be read");
        }
        return buffer.getLong(0) * NANOS_PER_SECOND + buffer.getLong(Long.BYTES);
    }
}
