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
 * A monotonic clock that keeps counting while the VM is suspended.
 *
 * <p>Lease expiry is measured with it: {@link System#nanoTime} does not advance during a suspension
 * and the wall clock may jump. Reads CLOCK_BOOTTIME on Linux and falls back to {@link
 * System#nanoTime} elsewhere. Thread safe.
 */
public final class BootClock {
    private static final int CLOCK_BOOTTIME = 7;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int TIMESPEC_BYTES = 16;
    private static final ThreadLocal<Memory> BUFFER =
            ThreadLocal.withInitial(() -> new Memory(TIMESPEC_BYTES));

    /** Native method of the C library; bound when the clock is first read. */
    private static final class LibC {
        /**
         * Where JNA looks for libraries. Unless set, JNA starts the program ldconfig to find out,
         * which a process must not do; the functions here are linked into the process already.
         */
        private static final String LIBRARY_PATH_PROPERTY = "jna.platform.library.path";

        static {
            if (System.getProperty(LIBRARY_PATH_PROPERTY) == null) {
                System.setProperty(LIBRARY_PATH_PROPERTY, "");
            }
            FunctionMapper names = (library, method) -> "clock_gettime";
            Map<String, Object> options = Map.of(Library.OPTION_FUNCTION_MAPPER, names);
            Native.register(LibC.class, NativeLibrary.getProcess(options));
        }

        private LibC() {}

        static native int readClock(int clock, Pointer time);
    }

    private BootClock() {}

    /**
     * Returns the time since an arbitrary start.
     *
     * @return nanoseconds; the start is the same for all processes of the VM
     */
    public static long nanos() {
        if (!Platform.isLinux()) {
            return System.nanoTime();
        }
        Memory buffer = BUFFER.get();
        if (LibC.readClock(CLOCK_BOOTTIME, buffer) != 0) {
            throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) failed");
        }
        return buffer.getLong(0) * NANOS_PER_SECOND + buffer.getLong(Long.BYTES);
    }
}
