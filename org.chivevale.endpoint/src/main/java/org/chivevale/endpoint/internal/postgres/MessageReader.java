package org.chivevale.endpoint.internal.postgres;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the messages of a PostgreSQL client.
 *
 * <p>Format: "Message Formats" in the PostgreSQL documentation, protocol 3.0. Invariant: a message
 * above {@link #MAX_MESSAGE_BYTES} is rejected. Not thread safe.
 */
final class MessageReader {
    static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private final DataInputStream in;
    private ByteBuffer body = ByteBuffer.allocate(0);

    MessageReader(InputStream in) {
        this.in = new DataInputStream(new BufferedInputStream(in, 16 * 1024));
    }

    /** Reads a message without a type byte. */
    void readUntyped() throws IOException {
        readBody();
    }

    /** Reads a message and returns its type; -1 at the end of the stream. */
    int readTyped() throws IOException {
        int type = in.read();
        if (type >= 0) {
            readBody();
        }
        return type;
    }

    boolean hasBufferedInput() throws IOException {
        return in.available() > 0;
    }

    InputStream stream() {
        return in;
    }

    private void readBody() throws IOException {
        int length = in.readInt() - LENGTH_BYTES;
        if (length < 0 || length > MAX_MESSAGE_BYTES) {
            throw new ProtocolException("invalid message length: " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        body = ByteBuffer.wrap(bytes);
    }

    int int32() throws IOException {
        requireRemaining(Integer.BYTES);
        return body.getInt();
    }

    int int16() throws IOException {
        requireRemaining(Short.BYTES);
        return body.getShort();
    }

    char byte1() throws IOException {
        requireRemaining(1);
        return (char) (body.get() & 0xFF);
    }

    byte[] bytes(int length) throws IOException {
        if (length < 0) {
            throw new ProtocolException("negative length of a byte array: " + length);
        }
        requireRemaining(length);
        byte[] bytes = new byte[length];
        body.get(bytes);
        return bytes;
    }

    String string() throws IOException {
        int start = body.position();
        int end = start;
        while (end < body.limit() && body.get(end) != 0) {
            end++;
        }
        if (end == body.limit()) {
            throw new ProtocolException("string has no terminating zero byte");
        }
        body.position(end + 1);
        return new String(body.array(), start, end - start, StandardCharsets.UTF_8);
    }

    boolean hasRemaining() {
        return body.hasRemaining();
    }

    private void requireRemaining(int count) throws IOException {
        if (body.remaining() < count) {
            throw new EOFException("message is shorter than its fields");
        }
    }
}
