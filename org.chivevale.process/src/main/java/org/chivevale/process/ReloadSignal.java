package org.chivevale.process;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP, the request to read the settings again, from the first moment of a process on.
 *
 * <p>Without a handler the signal ends the process. One that arrives before the settings are
 * watched is remembered. SIGUSR1, which has no meaning here, is ignored for the same reason. Uses
 * classes of the JDK only, so that a process can call it before it loads its libraries. Thread
 * safe.
 */
public final class ReloadSignal {
    private static Runnable action;
    private static boolean isPending;

    /** Runs the action for each signal. */
    private static final class Handler implements SignalHandler {
        @Override
        public void handle(Signal signal) {
            raise();
        }
    }

    private ReloadSignal() {}

    /** Installs the handler; to be the first call of a process. */
    public static void install() {
        Signal.handle(new Signal("HUP"), new Handler());
        Signal.handle(new Signal("USR1"), SignalHandler.SIG_IGN);
    }

    /**
     * Sets what is done for each signal; done at once if one has arrived already.
     *
     * @param reload called on the thread of a signal, or by this call
     */
    public static synchronized void onSignal(Runnable reload) {
        action = reload;
        if (isPending) {
            isPending = false;
            reload.run();
        }
    }

    private static synchronized void raise() {
        if (action == null) {
            isPending = true;
        } else {
            action.run();
        }
    }
}
