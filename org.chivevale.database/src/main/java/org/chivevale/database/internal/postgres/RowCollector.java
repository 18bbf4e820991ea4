package org.chivevale.database.internal.postgres;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.sqlclient.Row;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import org.chivevale.database.ResultLimits;

/**
 * Encodes rows as JSON as they arrive, up to limits shared by the statements of a request.
 *
 * <p>Invariant: rows past a limit are discarded, so memory stays bounded for any number of rows.
 * Used on one event loop.
 */
final class RowCollector {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final ResultLimits limits;
    private int rows;
    private int bytes;
    private boolean overflowed;

    RowCollector(ResultLimits limits) {
        this.limits = limits;
    }

    boolean overflowed() {
        return overflowed;
    }

    /** Rows of one statement. */
    final class Batch {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private int count;

        void add(Row row) {
            if (overflowed) {
                return;
            }
            int before = out.size();
            if (count > 0) {
                out.write(',');
            }
            write(row, out);
            count++;
            rows++;
            bytes += out.size() - before;
            overflowed = rows > limits.maxRows() || bytes > limits.maxBytes();
        }

        byte[] bytes() {
            return out.toByteArray();
        }

        int count() {
            return count;
        }
    }

    private static void write(Row row, ByteArrayOutputStream out) {
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.writeStartArray();
            for (int i = 0; i < row.size(); i++) {
                writeValue(json, row.getValue(i));
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        if (value == null) {
            json.writeNull();
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else if (value instanceof Integer || value instanceof Short || value instanceof Long) {
            json.writeNumber(((Number) value).longValue());
        } else if (value instanceof Float || value instanceof Double) {
            json.writeNumber(((Number) value).doubleValue());
        } else if (value instanceof Buffer binary) {
            json.writeString(Base64.getEncoder().encodeToString(binary.getBytes()));
        } else if (value instanceof JsonObject object) {
            json.writeRawValue(object.encode());
        } else if (value instanceof JsonArray array) {
            json.writeRawValue(array.encode());
        } else {
            json.writeString(value.toString());
        }
    }
}
