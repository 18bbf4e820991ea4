package org.chivevale.endpoint.internal.postgres;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.sql.SQLException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.chivevale.core.settings.HostPort;
import org.chivevale.endpoint.Faults;
import org.chivevale.endpoint.internal.instance.Instance;
import org.chivevale.endpoint.internal.replication.ReplicationSender;
import org.jboss.logging.Logger;

/**
 * Accepts PostgreSQL clients, cancel requests and replicas on one port.
 *
 * <p>Each connection has its own thread. Thread safe.
 */
public final class PgServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PgServer.class);
    private static final int PROTOCOL_3 = 196608;
    private static final int SSL_REQUEST = 80877103;
    private static final int GSSENC_REQUEST = 80877104;
    private static final int CANCEL_REQUEST = 80877102;
    private static final int BACKLOG = 256;

    private final Map<String, Instance> instances;
    private final String password;
    private final Faults faults;
    private final ServerSocket server;
    private final Map<Long, Client> clients = new ConcurrentHashMap<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final SecureRandom random = new SecureRandom();
    private volatile boolean closed;

    private record Client(Instance instance, Socket socket, SqlSession session) {}

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen on
     * @param instances the instances by the name of their group
     * @param password the password of the login role
     * @param faults the faults to simulate
     */
    public PgServer(
            HostPort address, Map<String, Instance> instances, String password, Faults faults) {
        this.instances = Map.copyOf(instances);
        this.password = password;
        this.faults = faults;
        try {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
        startThread("accept", this::acceptConnections);
    }

    /**
     * Returns the port in use.
     *
     * @return the bound port
     */
    public int port() {
        return server.getLocalPort();
    }

    /**
     * Closes the sessions of an instance, as a restart would.
     *
     * @param instance the instance
     */
    public void disconnect(Instance instance) {
        for (Client client : clients.values()) {
            if (client.instance() == instance) {
                client.session().cancel();
                closeQuietly(client.socket());
            }
        }
    }

    private static void startThread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                startThread("client-" + socket.getPort(), () -> handleConnection(socket));
            } catch (IOException e) {
                if (!closed) {
                    LOG.warnf("cannot accept a connection: %s", e);
                }
            }
        }
    }

    private void handleConnection(Socket socket) {
        try (socket) {
            MessageReader in = new MessageReader(socket.getInputStream());
            MessageWriter out = new MessageWriter(socket.getOutputStream());
            handleStartup(socket, in, out);
        } catch (IOException e) {
            LOG.debugf("connection to client %s lost: %s", socket.getRemoteSocketAddress(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private void handleStartup(Socket socket, MessageReader in, MessageWriter out)
            throws IOException, InterruptedException {
        while (true) {
            in.readUntyped();
            faults.awaitNotSilent();
            int code = in.int32();
            switch (code) {
                case SSL_REQUEST, GSSENC_REQUEST -> {
                    out.rawByte('N');
                    out.flush();
                }
                case CANCEL_REQUEST -> {
                    cancel((long) in.int32() << 32 | in.int32() & 0xFFFFFFFFL);
                    return;
                }
                case PROTOCOL_3 -> {
                    logIn(socket, in, out);
                    return;
                }
                case ReplicationSender.STARTUP_CODE -> {
                    sendLog(socket, in);
                    return;
                }
                default -> throw new ProtocolException("unknown startup code " + code);
            }
        }
    }

    private void sendLog(Socket socket, MessageReader in) throws IOException, InterruptedException {
        Instance instance = instances.get(in.string());
        if (instance != null && instance.isPrimary()) {
            new ReplicationSender(instance, faults, in.stream(), socket.getOutputStream()).run();
        }
    }

    private void cancel(long key) {
        Client client = clients.get(key);
        if (client != null) {
            client.session().cancel();
        }
    }

    private void logIn(Socket socket, MessageReader in, MessageWriter out)
            throws IOException, InterruptedException {
        Map<String, String> parameters = new HashMap<>();
        String name = in.string();
        while (!name.isEmpty() && in.hasRemaining()) {
            parameters.put(name, in.string());
            name = in.hasRemaining() ? in.string() : "";
        }
        Instance instance = instances.get(parameters.get("database"));
        if (instance == null) {
            sendFatalError(
                    out, "3D000", "database \"" + parameters.get("database") + "\" does not exist");
            return;
        }
        out.start('R').int32(3).end();
        out.flush();
        if (in.readTyped() != 'p' || !isAuthentic(parameters.get("user"), in.string())) {
            sendFatalError(out, "28P01", "password authentication failed");
            return;
        }
        long clientsOfInstance =
                clients.values().stream().filter(client -> client.instance() == instance).count();
        if (clientsOfInstance >= faults.connectionLimit()) {
            sendFatalError(out, "53300", "sorry, too many clients already");
            return;
        }
        serveSession(instance, socket, in, out);
    }

    private boolean isAuthentic(String user, String sent) {
        return Instance.LOGIN_ROLE.equals(user)
                && MessageDigest.isEqual(sent.getBytes(), password.getBytes());
    }

    private void sendFatalError(MessageWriter out, String state, String message)
            throws IOException {
        out.writeFields('E', SqlErrors.fields("FATAL", state, message));
        out.flush();
    }

    private void serveSession(Instance instance, Socket socket, MessageReader in, MessageWriter out)
            throws IOException, InterruptedException {
        long key = random.nextLong();
        try (SqlSession session = new SqlSession(instance)) {
            clients.put(key, new Client(instance, socket, session));
            Thread.sleep(faults.connectDelayMillis());
            out.start('R').int32(0).end();
            writeParameterStatus(out, "server_version", "15.0");
            writeParameterStatus(out, "server_encoding", "UTF8");
            writeParameterStatus(out, "client_encoding", "UTF8");
            writeParameterStatus(out, "DateStyle", "ISO, MDY");
            writeParameterStatus(out, "TimeZone", "UTC");
            writeParameterStatus(out, "integer_datetimes", "on");
            writeParameterStatus(out, "standard_conforming_strings", "on");
            out.start('K').int32((int) (key >>> 32)).int32((int) key).end();
            new PgSession(in, out, session, faults).run();
        } catch (SQLException e) {
            sendFatalError(out, SqlErrors.toSqlState(e), e.getMessage());
        } finally {
            clients.remove(key);
        }
    }

    private static void writeParameterStatus(MessageWriter out, String name, String value)
            throws IOException {
        out.start('S').string(name).string(value).end();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.debugf("cannot close a client connection: %s", e);
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
        } catch (IOException e) {
            LOG.debugf("cannot close the server socket: %s", e);
        }
        sockets.forEach(PgServer::closeQuietly);
    }
}
