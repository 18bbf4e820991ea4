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
 * Serializes responses as JSON.
 *
 * <p>Stateless and thread safe.
 */
public final class ResponseWriter {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private ResponseWriter() {}

    /**
     * Serializes a response.
     *
     * @param response the response
     * @param account the client account that the session token is bound to; null omits the token
     * @param tokens encodes the session token
     * @return the HTTP body, terminated by a newline
     */
    public static Buffer write(
            CallerResponse response, ClientAccountId account, SessionTokenCodec tokens) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON_FACTORY.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("code", response.code().number());
            json.writeStringField("name", response.code().name());
            json.writeStringField("outcome", response.outcome().text());
            writeUnlessEmpty(json, "message", response.message());
            writeUnlessEmpty(json, "sqlstate", response.sqlState());
            writeUnlessEmpty(json, "served_by", response.servedBy());
            if (response.repeated()) {
                json.writeBooleanField("repeated", true);
            }
            if (response.ageMillis() >= 0) {
                json.writeNumberField("age_ms", response.ageMillis());
            }
            if (response.session() != null && account != null) {
                json.writeStringField("session", tokens.encode(account, response.session()));
            }
            if (response.resultsJson() != null) {
                json.writeFieldName("results");
                json.writeRawValue(new String(response.resultsJson(), StandardCharsets.UTF_8));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.write('\n');
        return Buffer.buffer(out.toByteArray());
    }

    private static void writeUnlessEmpty(JsonGenerator json, String name, String value)
            throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }
}
