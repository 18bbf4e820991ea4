package org.chivevale.load.deployment;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
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

    private final String name;
    private final List<String> command;
    private final File log;
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
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.add("-Xmx" + heapMegabytes + "m");
        words.add("-XX:+UseSerialGC");
        words.add("-XX:TieredStopAtLevel=1");
        words.add("-Xshare:auto");
        words.add("-cp");
        words.add(System.getProperty("java.class.path"));
        words.add(mainClass);
        words.add("--settings");
        words.add(settings.toString());
        this.command = List.copyOf(words);
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    /** Starts it; a process that has ended may be started again. */
    public synchronized void start() {
        try {
            process =
                    new ProcessBuilder(command)
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
        String signal = frozen ? "-STOP" : "-CONT";
        try {
            new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start().waitFor();
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
