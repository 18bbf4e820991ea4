package org.chivevale.load.deployment;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of a trial deployment.
 *
 * <p>Invariant: it is ended by its own process id, and at the latest with the process that started
 * it. Thread safe.
 */
public final class ChildProcess implements AutoCloseable {
    private static final int STOP_SECONDS = 30;
    private static final double NANOS_PER_SECOND = 1e9;

    private final String name;
    private final String mainClass;
    private final int heapMegabytes;
    private final Path settings;
    private final File log;
    private boolean optimized;
    private Process process;

    /**
     * Describes a process that is not started.
     *
     * @param name its name
     * @param mainClass the class to run
     * @param heapMegabytes its largest heap
     * @param settings its settings file
     * @param log where its output goes
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
     * Lets the process compile as it would in service; otherwise it uses the first compiler only,
     * which is slower in the end but sooner at full speed.
     *
     * @return this process
     */
    public synchronized ChildProcess optimized() {
        optimized = true;
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
        words.add("-cp");
        words.add(System.getProperty("java.class.path"));
        words.add(mainClass);
        words.add("--settings");
        words.add(settings.toString());
        return words;
    }

    /**
     * Returns the processor time it has used.
     *
     * @return seconds of one core
     */
    public synchronized double cpuSeconds() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / NANOS_PER_SECOND;
    }

    /** Starts it unless it runs; a process that has ended may be started again. */
    public synchronized void start() {
        if (isAlive()) {
            return;
        }
        try {
            process =
                    new ProcessBuilder(command())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException(name, e);
        }
    }

    /**
     * Returns its name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns its process id.
     *
     * @return the id
     */
    public synchronized long pid() {
        return process.pid();
    }

    /**
     * Tells whether it runs.
     *
     * @return false before the start and after the end
     */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Ends it at once, without a chance to clean up. */
    public synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
            await();
        }
    }

    /** Asks it to end and waits for that. */
    public synchronized void stop() {
        if (process == null) {
            return;
        }
        process.destroy();
        if (!await()) {
            process.destroyForcibly();
        }
    }

    /** Asks it to end without waiting. */
    public synchronized void askToStop() {
        if (process != null) {
            process.destroy();
        }
    }

    /**
     * Stops or continues it with a signal, so that it seems frozen.
     *
     * @param frozen true to stop, false to continue
     */
    public synchronized void freeze(boolean frozen) {
        signal(frozen ? "STOP" : "CONT");
    }

    /**
     * Sends it a signal, if it runs.
     *
     * @param name the signal's name, without SIG
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

    private boolean await() {
        try {
            return process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
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
