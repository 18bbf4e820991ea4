package org.chivevale.endpoint.internal.instance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The log of one instance in a file, one JSON record a line.
 *
 * <p>A record survives the end of the process once {@link #append} returns; it is not synced, since
 * the stand-in is not meant to survive the loss of a machine. Not thread safe.
 */
final class LogFile implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Path path;
    private OutputStream out;

    LogFile(Path path) {
        this.path = path;
    }

    /** Reads the whole records; a torn last line is left out. */
    List<LogRecord> open() {
        List<LogRecord> records = new ArrayList<>();
        try {
            Files.createDirectories(path.getParent());
            if (Files.exists(path)) {
                readInto(records);
            }
            out = Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return records;
    }

    private void readInto(List<LogRecord> records) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            String line = reader.readLine();
            while (line != null) {
                records.add(MAPPER.readValue(line, LogRecord.class));
                line = reader.readLine();
            }
        } catch (JsonProcessingException e) {
            rewrite(records);
        }
    }

    void append(LogRecord record) {
        try {
            out.write((MAPPER.writeValueAsString(record) + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Replaces the whole log by a base copy. */
    void restart(LogRecord base) {
        try {
            out.close();
            rewrite(List.of(base));
            out = Files.newOutputStream(path, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void rewrite(List<LogRecord> records) throws IOException {
        StringBuilder text = new StringBuilder();
        for (LogRecord record : records) {
            text.append(MAPPER.writeValueAsString(record)).append('\n');
        }
        Files.writeString(path, text);
    }

    @Override
    public void close() {
        try {
            out.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
