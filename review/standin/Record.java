package review.standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run. Thread safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void log(String format, Object... arguments) {
        out.printf("%8.3f ", (System.nanoTime() - startNanos) / 1e9);
        out.printf(format, arguments);
        out.println();
    }

    /** Logs a line and prints it as well. */
    void say(String format, Object... arguments) {
        log(format, arguments);
        System.out.printf(format + "%n", arguments);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
