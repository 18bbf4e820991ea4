package org.chivevale.proxy.internal.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.session.SessionTokenCodec;

/**
 * Writes answers as JSON.
 *
 * <p>Stateless and thread safe.
 */
public final class AnswerWriter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private AnswerWriter() {}

    /**
     * Writes an answer.
     *
     * @param answer the answer
     * @param account whose session the token is for, or null
     * @param tokens writes the token
     * @return the body
     */
    public static Buffer write(
            CallerAnswer answer, ClientAccountId account, SessionTokenCodec tokens) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("code", answer.code().number());
            json.writeStringField("name", answer.code().name());
            json.writeStringField("outcome", answer.outcome().text());
            writeIfSaid(json, "message", answer.message());
            writeIfSaid(json, "sqlstate", answer.sqlState());
            writeIfSaid(json, "served_by", answer.servedBy());
            if (answer.repeated()) {
                json.writeBooleanField("repeated", true);
            }
            if (answer.ageMillis() >= 0) {
                json.writeNumberField("age_ms", answer.ageMillis());
            }
            if (answer.session() != null && account != null) {
                json.writeStringField("session", tokens.encode(account, answer.session()));
            }
            if (answer.resultsJson() != null) {
                json.writeFieldName("results");
                json.writeRawValue(new String(answer.resultsJson(), StandardCharsets.UTF_8));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.write('\n');
        return Buffer.buffer(out.toByteArray());
    }

    private static void writeIfSaid(JsonGenerator json, String name, String value)
            throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }
}
