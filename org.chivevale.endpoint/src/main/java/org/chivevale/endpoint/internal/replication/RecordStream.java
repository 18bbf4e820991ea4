package org.chivevale.endpoint.internal.replication;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Reads and writes length-prefixed JSON messages.
 *
 * <p>Stateless and thread safe; each direction of a connection is used by one thread.
 */
final class RecordStream {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_BYTES = 256 * 1024 * 1024;

    private RecordStream() {}

    static void write(DataOutputStream out, Object message) throws IOException {
        byte[] bytes = MAPPER.writeValueAsBytes(message);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    static <T> T read(DataInputStream in, Class<T> type) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > MAX_BYTES) {
            throw new IOException("invalid message length: " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return MAPPER.readValue(bytes, type);
    }
}
