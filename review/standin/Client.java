package review.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session: one request at a time, each with an id of its own. */
final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();

    private final Socket socket;
    private final BufferedReader in;
    private final OutputStream out;

    /**
     * The answer to a request.
     *
     * @param id the request's id
     * @param rows the rows
     * @param mac the field of COMPLETE; null after an error
     * @param error the code of ERROR; null after a success
     * @param state the state after it
     * @param position the position after it
     */
    record Answer(
            String id, List<String> rows, String mac, String error, String state, String position) {
        boolean isSuccess() {
            return error == null;
        }
    }

    Client(Socket socket, int timeoutMillis) throws IOException {
        this(socket, timeoutMillis, socket.getInputStream());
    }

    /** Creates a client that reads from its socket through a stream, such as a slower one. */
    Client(Socket socket, int timeoutMillis, InputStream stream) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedReader(new InputStreamReader(stream, StandardCharsets.ISO_8859_1));
        out = socket.getOutputStream();
    }

    static String nextId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** Opens the session; returns the first line of the answer. */
    String open(String database, String key) throws IOException {
        write("CONNECT " + database + " " + key);
        return readLine();
    }

    Answer query(String text) throws IOException {
        return query(nextId(), text);
    }

    Answer query(String id, String text) throws IOException {
        write("QUERY " + id + " " + text);
        List<String> rows = new ArrayList<>();
        String mac = null;
        String error = null;
        while (true) {
            String line = readLine();
            String[] fields = line.split(" ", 3);
            switch (fields[0]) {
                case "ROW" -> rows.add(line.substring("ROW ".length()));
                case "COMPLETE" -> mac = fields[1];
                case "ERROR" -> error = fields[1];
                case "READY" -> {
                    return new Answer(id, rows, mac, error, fields[1], fields[2]);
                }
                default -> throw new IOException("not understood: " + line);
            }
        }
    }

    private void write(String line) throws IOException {
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private String readLine() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new IOException("the connection was closed");
        }
        return line;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
