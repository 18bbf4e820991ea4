package org.chivevale.endpoint.internal.postgres;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Writes the messages of a PostgreSQL server.
 *
 * <p>Format: "Message Formats" in the PostgreSQL documentation, protocol 3.0. A message starts with
 * {@link #start} and is complete after {@link #end}. Complete messages are buffered until {@link
 * #flush} or until the buffer exceeds a threshold. Not thread safe.
 */
final class MessageWriter {
    private static final int FLUSH_THRESHOLD_BYTES = 64 * 1024;

    private final OutputStream out;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
    private final DataOutputStream body = new DataOutputStream(bodyBytes);
    private char type;

    MessageWriter(OutputStream out) {
        this.out = out;
    }

    MessageWriter start(char messageType) {
        type = messageType;
        bodyBytes.reset();
        return this;
    }

    MessageWriter int32(int value) throws IOException {
        body.writeInt(value);
        return this;
    }

    MessageWriter int16(int value) throws IOException {
        body.writeShort(value);
        return this;
    }

    MessageWriter byte1(int value) throws IOException {
        body.writeByte(value);
        return this;
    }

    MessageWriter bytes(byte[] value) throws IOException {
        body.write(value);
        return this;
    }

    MessageWriter string(String value) throws IOException {
        body.write(value.getBytes(StandardCharsets.UTF_8));
        body.writeByte(0);
        return this;
    }

    void end() throws IOException {
        DataOutputStream header = new DataOutputStream(pending);
        header.writeByte(type);
        header.writeInt(Integer.BYTES + bodyBytes.size());
        bodyBytes.writeTo(pending);
        if (pending.size() > FLUSH_THRESHOLD_BYTES) {
            flush();
        }
    }

    void writeFields(char messageType, Map<Character, String> fields) throws IOException {
        start(messageType);
        for (Map.Entry<Character, String> field : fields.entrySet()) {
            byte1(field.getKey());
            string(field.getValue());
        }
        byte1(0);
        end();
    }

    void rawByte(int value) {
        pending.write(value);
    }

    void flush() throws IOException {
        pending.writeTo(out);
        pending.reset();
        out.flush();
    }
}
