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
 * Log file of one instance with one JSON record per line.
 *
 * <p>A record survives a crash of the process once {@link #append} returns. Records are not synced
 * to disk, since the stand-in need not survive the failure of a machine. Not thread safe.
 */
final class LogFile implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Path path;
    private OutputStream out;

    LogFile(Path path) {
        this.path = path;
    }

    /** Opens the file and reads its complete records; drops a torn write at the end. */
    List<LogRecord> open() {
        List<LogRecord> records = new ArrayList<>();
        try {
            Files.createDirectories(path.getParent());
            if (Files.exists(path)) {
                readRecords(records);
            }
            out = Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return records;
    }

    private void readRecords(List<LogRecord> records) throws IOException {
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

    /** Replaces the contents by a base backup. */
    void replaceContents(LogRecord baseBackup) {
        try {
            out.close();
            rewrite(List.of(baseBackup));
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
