package org.chivevale.process;

import com.sun.jna.FunctionMapper;
import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;
import com.sun.jna.Pointer;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.jboss.logging.Logger;

/**
 * A monotonic clock that keeps counting while the VM is suspended.
 *
 * <p>Lease expiry is measured with it: {@link System#nanoTime} does not advance during a suspension
 * and the wall clock may jump. Reads CLOCK_BOOTTIME on Linux, or the kernel's uptime where the
 * native library cannot be loaded, and falls back to {@link System#nanoTime} elsewhere. Thread
 * safe.
 */
public final class BootClock {
    private static final int CLOCK_BOOTTIME = 7;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int NANOS_DIGITS = 9;
    private static final int TIMESPEC_BYTES = 16;
    private static final Path UPTIME = Path.of("/proc/uptime");
    private static final boolean IS_LINUX = System.getProperty("os.name").equals("Linux");
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

    /** How the clock is read, chosen when it is first read. */
    private static final class Source {
        private static final boolean IS_NATIVE = isNativeUsable();

        private static boolean isNativeUsable() {
            try {
                return LibC.readClock(CLOCK_BOOTTIME, BUFFER.get()) == 0;
            } catch (LinkageError e) {
                Logger.getLogger(BootClock.class)
                        .errorf("reading %s, since native code cannot be used: %s", UPTIME, e);
                return false;
            }
        }
    }

    private BootClock() {}

    /**
     * Returns the time since an arbitrary start.
     *
     * @return nanoseconds; the start is the same for all processes of the VM
     */
    public static long nanos() {
        if (!IS_LINUX) {
            return System.nanoTime();
        }
        return Source.IS_NATIVE ? readNative() : readUptime();
    }

    private static long readNative() {
        Memory buffer = BUFFER.get();
        if (LibC.readClock(CLOCK_BOOTTIME, buffer) != 0) {
            throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) failed");
        }
        return buffer.getLong(0) * NANOS_PER_SECOND + buffer.getLong(Long.BYTES);
    }

    /** Reads seconds with two decimals since the VM was booted, suspended time included. */
    private static long readUptime() {
        try {
            String text = Files.readString(UPTIME);
            BigDecimal seconds = new BigDecimal(text.substring(0, text.indexOf(' ')));
            return seconds.movePointRight(NANOS_DIGITS).longValueExact();
        } catch (IOException | RuntimeException e) {
            throw new IllegalStateException("cannot read " + UPTIME, e);
        }
    }
}
