package org.chivevale.database;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Encodes results as the JSON array that is returned to callers.
 *
 * <p>Stateless and thread safe.
 */
public final class ResultsJson {
    private static final JsonFactory FACTORY = new JsonFactory();

    private ResultsJson() {}

    /**
     * Encodes results.
     *
     * @param results one result per statement
     * @return a JSON array of objects with columns, rows and affected
     */
    public static byte[] write(List<StatementResult> results) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.writeStartArray();
            for (StatementResult result : results) {
                write(json, result);
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator json, StatementResult result) throws IOException {
        json.writeStartObject();
        json.writeArrayFieldStart("columns");
        for (String column : result.columns()) {
            json.writeString(column);
        }
        json.writeEndArray();
        json.writeFieldName("rows");
        json.writeRawValue("[" + new String(result.rows(), StandardCharsets.UTF_8) + "]");
        json.writeNumberField("affected", result.affected());
        json.writeEndObject();
    }
}
