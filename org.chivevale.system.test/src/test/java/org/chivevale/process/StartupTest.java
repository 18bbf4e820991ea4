package org.chivevale.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumSet;
import java.util.Set;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.process.Startup.Decision;
import org.junit.jupiter.api.Test;

/** Guards against a process that ends for a failure that passes, or stays for one that does not. */
class StartupTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final Set<ResultCode> FINAL =
            EnumSet.of(ResultCode.STORE_DAMAGED, ResultCode.ADDRESS_FORBIDDEN);

    private final Deque<Throwable> failures = new ArrayDeque<>();
    private final Kernel kernel = new Kernel();
    private int failedAttempts;

    private Startup startup() {
        return new Startup(this::assemble, () -> failedAttempts++);
    }

    private Kernel assemble() {
        Throwable failure = failures.poll();
        if (failure instanceof RuntimeException exception) {
            throw exception;
        }
        if (failure instanceof Error error) {
            throw error;
        }
        return kernel;
    }

    private static ChivevaleException failure(ResultCode code) {
        return new ChivevaleException(code, "test");
    }

    @Test
    void everyFailureButThoseThatCannotPassIsTriedAgain() {
        for (ResultCode code : ResultCode.values()) {
            Decision expected = FINAL.contains(code) ? Decision.END : Decision.RETRY;
            assertEquals(expected, startup().decide(failure(code), 0), code.name());
        }
        Startup startup = startup();
        assertEquals(Decision.RETRY, startup.decide(new IllegalStateException("test"), 0));
        assertEquals(Decision.RETRY, startup.decide(new OutOfMemoryError("test"), 0));
        assertEquals(Decision.END, startup.decide(new NoClassDefFoundError("test"), 0));
    }

    @Test
    void onlySettingsThatStayInvalidEndTheProcess() {
        Startup startup = startup();
        ChivevaleException invalid = failure(ResultCode.SETTINGS_INVALID);
        assertEquals(Decision.RETRY, startup.decide(invalid, 0));
        assertEquals(Decision.RETRY, startup.decide(invalid, SECOND_NANOS));
        assertEquals(
                Decision.RETRY,
                startup.decide(failure(ResultCode.ADDRESS_UNAVAILABLE), 2 * SECOND_NANOS));
        assertEquals(Decision.RETRY, startup.decide(invalid, 3 * SECOND_NANOS));
        assertEquals(Decision.END, startup.decide(invalid, 5 * SECOND_NANOS));
    }

    @Test
    void aStartIsRepeatedUntilItSucceeds() {
        failures.addAll(
                Arrays.asList(
                        failure(ResultCode.ADDRESS_UNAVAILABLE),
                        new OutOfMemoryError("test"),
                        failure(ResultCode.SETTINGS_INVALID)));
        assertSame(kernel, startup().run());
        assertEquals(3, failedAttempts);
    }

    @Test
    void aStartThatCannotSucceedEndsWithItsCause() {
        failures.add(failure(ResultCode.STORE_DAMAGED));
        ChivevaleException cause = assertThrows(ChivevaleException.class, startup()::run);
        assertEquals(ResultCode.STORE_DAMAGED, cause.code());
        assertFalse(failures.contains(cause));
    }
}
