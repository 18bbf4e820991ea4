package org.chivevale.load.deployment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.chivevale.core.settings.HostPort;

/**
 * Sends random bytes, truncated messages and oversized messages to listening ports.
 *
 * <p>The same seed gives the same input. Every third connection stays open until {@link #close}, so
 * that a server that waits for the rest of a message is seen. Confined to one thread.
 */
public final class MalformedInput implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 10_000;
    private static final int READ_TIMEOUT_MILLIS = 30;
    private static final int MAX_RANDOM_BYTES = 4096;
    private static final int MEGABYTE = 1 << 20;

    /** Below the size of the sockets' buffers, so that a write ends when the server reads none. */
    private static final int FRAME_REST_BYTES = 64 * 1024;

    private final Random random;
    private final List<Socket> open = new ArrayList<>();
    private int sent;

    /** How a port separates messages. */
    public enum Protocol {
        /** Lines that end with CR LF. */
        LINES,
        /** HTTP/1.1 with JSON bodies. */
        HTTP,
        /** Protobuf messages after their length in four bytes. */
        FRAMES
    }

    /**
     * Creates a generator.
     *
     * @param seed decides the input
     */
    public MalformedInput(long seed) {
        random = new Random(seed);
    }

    /**
     * Sends malformed input, each on a new connection.
     *
     * @param address the port
     * @param protocol what the port expects
     * @param samples valid messages, which are truncated and damaged
     * @param count number of connections
     * @throws IOException if the port accepts no connection
     */
    public void send(HostPort address, Protocol protocol, List<byte[]> samples, int count)
            throws IOException {
        for (int i = 0; i < count; i++) {
            byte[] input =
                    switch (random.nextInt(4)) {
                        case 0 -> randomBytes(1 + random.nextInt(MAX_RANDOM_BYTES));
                        case 1 -> truncate(sample(samples));
                        case 2 -> damage(sample(samples));
                        default -> oversize(protocol);
                    };
            send(address, input);
        }
    }

    private byte[] sample(List<byte[]> samples) {
        return samples.get(random.nextInt(samples.size()));
    }

    private byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return bytes;
    }

    private byte[] truncate(byte[] message) {
        return Arrays.copyOf(message, random.nextInt(message.length));
    }

    private byte[] damage(byte[] message) {
        byte[] damaged = message.clone();
        for (int i = 1 + random.nextInt(8); i > 0; i--) {
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        }
        return damaged;
    }

    private byte[] oversize(Protocol protocol) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        switch (protocol) {
            case LINES -> {
                out.writeBytes(ascii("CONNECT "));
                out.writeBytes(ascii("x".repeat(2 * MEGABYTE)));
            }
            case HTTP -> {
                out.writeBytes(ascii("POST /v1/plans HTTP/1.1\r\nHost: x\r\n"));
                switch (random.nextInt(3)) {
                    case 0 -> out.writeBytes(ascii("X-Long: " + "x".repeat(MEGABYTE)));
                    case 1 -> {
                        out.writeBytes(ascii("Content-Length: " + 64 * MEGABYTE + "\r\n\r\n"));
                        out.writeBytes(randomBytes(4 * MEGABYTE));
                    }
                    default -> {
                        out.writeBytes(ascii("Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n"));
                        out.writeBytes(randomBytes(4 * MEGABYTE));
                    }
                }
            }
            default -> {
                int length = random.nextBoolean() ? Integer.MAX_VALUE : -1 - random.nextInt(99);
                out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
                out.writeBytes(randomBytes(FRAME_REST_BYTES));
            }
        }
        return out.toByteArray();
    }

    private void send(HostPort address, byte[] input) throws IOException {
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
        try {
            OutputStream out = socket.getOutputStream();
            out.write(input);
            out.flush();
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getInputStream().read(new byte[MAX_RANDOM_BYTES]);
        } catch (SocketTimeoutException e) {
            // The server waits for the rest of the message.
        } catch (IOException e) {
            // The server has closed the connection, as it may.
        }
        sent++;
        if (sent % 3 == 0) {
            open.add(socket);
        } else {
            socket.close();
        }
    }

    /**
     * Encodes a message of a text protocol.
     *
     * @param text the message
     * @return one byte per char
     */
    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Encodes a frame.
     *
     * @param message its message
     * @return its length, then the message
     */
    public static byte[] frame(byte[] message) {
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    /** Closes the connections that were left open. */
    @Override
    public void close() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }
}
