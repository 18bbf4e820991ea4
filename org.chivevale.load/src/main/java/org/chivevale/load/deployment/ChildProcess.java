package org.chivevale.load.deployment;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A Java process of a deployment on loopback.
 *
 * <p>Invariant: the process is signalled only by its own process id, and is killed at the latest
 * when the JVM that started it shuts down. Thread safe.
 */
public final class ChildProcess implements AutoCloseable {
    private static final int STOP_TIMEOUT_SECONDS = 30;
    private static final double NANOS_PER_SECOND = 1e9;

    private final String name;
    private final String mainClass;
    private final int heapMegabytes;
    private final Path settings;
    private final File log;
    private final List<String> javaOptions = new ArrayList<>();
    private final Map<String, String> environment = new HashMap<>();
    private boolean optimized;
    private Process process;
    private long logBytesAtStart;

    /**
     * Describes a process; it runs after {@link #start}.
     *
     * @param name name in error messages
     * @param mainClass the class to run
     * @param heapMegabytes maximum heap size
     * @param settings path of its settings file
     * @param log file to which its output is appended
     */
    public ChildProcess(String name, String mainClass, int heapMegabytes, Path settings, Path log) {
        this.name = name;
        this.log = log.toFile();
        this.mainClass = mainClass;
        this.heapMegabytes = heapMegabytes;
        this.settings = settings;
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    /**
     * Enables all JIT compilers, as in production. By default only the first-tier compiler is used,
     * which warms up faster but has a lower peak speed.
     *
     * @return this process
     */
    public synchronized ChildProcess optimized() {
        optimized = true;
        return this;
    }

    /**
     * Adds an option of the Java virtual machine.
     *
     * @param option as on the command line
     * @return this process
     */
    public synchronized ChildProcess javaOption(String option) {
        javaOptions.add(option);
        return this;
    }

    /**
     * Starts the process without arguments, and with variables that name its settings instead.
     *
     * @param variables names and values of environment variables
     * @return this process
     */
    public synchronized ChildProcess configuredBy(Map<String, String> variables) {
        environment.putAll(variables);
        return this;
    }

    private List<String> command() {
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.add("-Xmx" + heapMegabytes + "m");
        words.add("-XX:+UseSerialGC");
        words.add("-Xshare:auto");
        if (!optimized) {
            words.add("-XX:TieredStopAtLevel=1");
        }
        words.addAll(javaOptions);
        words.add("-cp");
        words.add(System.getProperty("java.class.path"));
        words.add(mainClass);
        if (environment.isEmpty()) {
            words.add("--settings");
            words.add(settings.toString());
        }
        return words;
    }

    /**
     * Returns the CPU time that the process has used.
     *
     * @return seconds of one core
     */
    public synchronized double cpuSeconds() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / NANOS_PER_SECOND;
    }

    /** Starts the process unless it is running; it may be started again after its end. */
    public synchronized void start() {
        if (isAlive()) {
            return;
        }
        try {
            ProcessBuilder builder =
                    new ProcessBuilder(command())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().putAll(environment);
            logBytesAtStart = log.length();
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start process " + name, e);
        }
    }

    /**
     * Returns the name of the process.
     *
     * @return the name given to the constructor
     */
    public String name() {
        return name;
    }

    /**
     * Returns the process id.
     *
     * @return the id of the last start
     */
    public synchronized long pid() {
        return process.pid();
    }

    /**
     * Returns whether the process is running.
     *
     * @return false before its start and after its end
     */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Returns whether the process has written anything, so that its own code has begun to run.
     *
     * @return false until then, also after a new start
     */
    public synchronized boolean hasLogged() {
        return isAlive() && log.length() > logBytesAtStart;
    }

    /**
     * Returns the exit code of a process that has ended.
     *
     * @return the code; above 128 after a signal
     */
    public synchronized int exitCode() {
        return process.exitValue();
    }

    /** Kills the process with SIGKILL and waits for its end. */
    public synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
            awaitExit();
        }
    }

    /** Sends SIGTERM and waits for the end; kills the process if it takes too long. */
    public synchronized void stop() {
        if (process == null) {
            return;
        }
        process.destroy();
        if (!awaitExit()) {
            process.destroyForcibly();
        }
    }

    /** Sends SIGTERM without waiting for the end. */
    public synchronized void requestStop() {
        if (process != null) {
            process.destroy();
        }
    }

    /**
     * Suspends the process with SIGSTOP or resumes it with SIGCONT.
     *
     * @param frozen true to suspend, false to resume
     */
    public synchronized void freeze(boolean frozen) {
        signal(frozen ? "STOP" : "CONT");
    }

    /**
     * Sends a signal, if the process is running.
     *
     * @param name name of the signal, without SIG
     */
    public synchronized void signal(String name) {
        if (!isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean awaitExit() {
        try {
            return process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void close() {
        kill();
    }
}
