package org.chivevale.process;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import java.util.Objects;
import java.util.function.Supplier;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.ProcessLifetime;
import org.jboss.logging.Logger;

/**
 * Base of the processes' main classes: parses the command line, runs the kernel, sets exit codes.
 *
 * <p>{@link ProcessEnd} decides which failures end the process; the last line on standard error
 * then names the cause.
 *
 * <p>Without arguments, the environment variable {@link #SETTINGS_VARIABLE} names the settings, and
 * no command line is parsed: a process that is started again after a failure then serves sooner.
 * Exit code 2 reports a wrong command line or wrong settings, 1 another cause. Used by one thread.
 */
public abstract class Main {
    private static final int BAD_COMMAND_LINE_STATUS = 2;
    private static final String SETTINGS_VARIABLE = "CHIVEVALE_SETTINGS";
    private static final String DEFAULT_SETTINGS = "settings.toml";

    @AirlineModule private HelpOption<Main> help;

    @Option(
            name = {"--settings"},
            title = "FILE",
            description = "TOML file with the settings")
    private String settingsFile =
            Objects.requireNonNullElse(System.getenv(SETTINGS_VARIABLE), DEFAULT_SETTINGS);

    @Option(
            name = {"--check"},
            description = "Check the settings and exit")
    private boolean checkOnly;

    /**
     * Reads the settings and registers the services of the process.
     *
     * @param settingsFile the TOML file with the settings
     * @return a kernel that has not been started
     */
    protected abstract Kernel kernel(Path settingsFile);

    /**
     * Runs a process until it receives a signal to stop.
     *
     * @param type the main class, whose options are parsed
     * @param constructor creates the main class when there is no command line
     * @param args the command line
     * @param <T> the main class
     */
    protected static <T extends Main> void run(
            Class<T> type, Supplier<T> constructor, String[] args) {
        ReloadSignal.install();
        Thread.setDefaultUncaughtExceptionHandler(Main::logUncaught);
        try {
            if (args.length == 0) {
                Main main = constructor.get();
                main.run();
            } else {
                runCommandLine(type, args);
            }
        } catch (ChivevaleException | LinkageError e) {
            ProcessEnd.end(e);
        }
    }

    private static void logUncaught(Thread thread, Throwable failure) {
        log().errorf(failure, "unexpected failure in thread %s", thread.getName());
    }

    /** Called when an attempt to start has failed and another one follows. */
    protected void onFailedStart() {}

    private static <T extends Main> void runCommandLine(Class<T> type, String[] args) {
        try {
            Main main = SingleCommand.singleCommand(type).parse(args);
            if (!main.helpShown()) {
                main.run();
            }
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(BAD_COMMAND_LINE_STATUS);
        }
    }

    private static void stop(Kernel kernel) {
        log().info("stopping");
        kernel.stop();
        log().info("stopped");
    }

    /** Initializes logging only when it is used, so that a main class can listen before. */
    private static Logger log() {
        return Logger.getLogger(Main.class);
    }

    private boolean helpShown() {
        return help.showHelpIfRequested();
    }

    private void run() {
        Path file = Path.of(settingsFile);
        if (checkOnly) {
            kernel(file);
            System.out.println(settingsFile + ": ok");
            return;
        }
        Kernel kernel = new Startup(() -> kernel(file), this::onFailedStart).run();
        log().infof("started %s with %s", getClass().getSimpleName(), settingsFile);
        ProcessLifetime.runUntilStopped(() -> stop(kernel));
    }
}
