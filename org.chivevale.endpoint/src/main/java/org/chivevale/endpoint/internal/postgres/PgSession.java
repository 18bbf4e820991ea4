package org.chivevale.endpoint.internal.postgres;

import java.io.IOException;
import java.sql.ParameterMetaData;
import java.sql.PreparedStatement;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.statement.ScannedStatement;
import org.chivevale.core.statement.SqlScanner;
import org.chivevale.endpoint.Faults;
import org.chivevale.endpoint.internal.instance.SqlParameter;

/**
 * Protocol 3.0 session with one client after the startup phase.
 *
 * <p>Format: "Message Flow" in the PostgreSQL documentation. Invariant: after an error in the
 * extended query protocol all messages are skipped until the client's Sync. Used by one thread.
 */
final class PgSession {
    private final MessageReader in;
    private final MessageWriter out;
    private final SqlSession session;
    private final Faults faults;
    private final Map<String, Prepared> statements = new HashMap<>();
    private final Map<String, Portal> portals = new HashMap<>();
    private boolean skippingToSync;

    private record Prepared(ScannedStatement statement, int[] typeOids, List<Column> columns) {}

    private record Column(String name, int oid) {}

    private static final class Portal {
        final Prepared prepared;
        final List<SqlParameter> parameters;
        final int[] formats;
        SqlSession.SqlResult result;
        int sentRows;

        Portal(Prepared prepared, List<SqlParameter> parameters, int[] formats) {
            this.prepared = prepared;
            this.parameters = parameters;
            this.formats = formats;
        }

        int format(int column) {
            if (formats.length == 0) {
                return 0;
            }
            return formats.length == 1 ? formats[0] : formats[column];
        }
    }

    PgSession(MessageReader in, MessageWriter out, SqlSession session, Faults faults) {
        this.in = in;
        this.out = out;
        this.session = session;
        this.faults = faults;
    }

    /** Serves the client until it terminates the session or the connection is closed. */
    void run() throws IOException, InterruptedException {
        writeReadyForQuery();
        out.flush();
        while (true) {
            int type = in.readTyped();
            faults.awaitNotSilent();
            if (type < 0 || type == 'X') {
                return;
            }
            handle((char) type);
            if (!in.hasBufferedInput()) {
                faults.awaitNotSilent();
                out.flush();
            }
        }
    }

    private void handle(char type) throws IOException {
        if (skippingToSync && type != 'S') {
            return;
        }
        try {
            dispatch(type);
        } catch (SQLException e) {
            handleError(e, type != 'Q');
        }
    }

    private void dispatch(char type) throws IOException, SQLException {
        switch (type) {
            case 'Q' -> handleQuery(in.string());
            case 'P' -> handleParse();
            case 'B' -> handleBind();
            case 'D' -> handleDescribe();
            case 'E' -> handleExecute();
            case 'C' -> handleClose();
            case 'S' -> handleSync();
            case 'H' -> out.flush();
            default -> throw new ProtocolException("unknown message type " + type);
        }
    }

    private void handleError(SQLException error, boolean skipToSync) throws IOException {
        try {
            session.markFailed();
        } catch (SQLException e) {
            throw new IOException("rollback failed", e);
        }
        out.writeFields('E', SqlErrors.fields(error));
        if (skipToSync) {
            skippingToSync = true;
        } else {
            writeReadyForQuery();
        }
    }

    private void writeReadyForQuery() throws IOException {
        out.start('Z').byte1(session.transactionStatus()).end();
    }

    private void handleSync() throws IOException, SQLException {
        skippingToSync = false;
        if (session.transactionStatus() != 'T') {
            portals.clear();
        }
        try {
            session.commitImplicit();
        } catch (SQLException e) {
            out.writeFields('E', SqlErrors.fields(e));
        }
        writeReadyForQuery();
    }

    private void handleQuery(String sql) throws IOException, SQLException {
        List<ScannedStatement> parts = new SqlScanner(sql).scan();
        if (parts.isEmpty()) {
            out.start('I').end();
        }
        for (ScannedStatement part : parts) {
            SqlSession.SqlResult result = session.execute(part, List.of());
            int rows = Math.max(0, result.count());
            if (result.rows() != null) {
                List<Column> columns = readColumns(result.rows().getMetaData());
                writeRowDescription(columns, new int[0]);
                Portal portal =
                        new Portal(new Prepared(part, new int[0], columns), List.of(), new int[0]);
                portal.result = result;
                sendRows(portal, 0);
                rows = portal.sentRows;
                result.statement().close();
            }
            out.start('C').string(result.tag(rows)).end();
        }
        session.commitImplicit();
        writeReadyForQuery();
    }

    private void handleParse() throws IOException, SQLException {
        String name = in.string();
        String sql = in.string();
        int declared = in.int16();
        int[] oids = new int[declared];
        for (int i = 0; i < declared; i++) {
            oids[i] = in.int32();
        }
        List<ScannedStatement> parts = new SqlScanner(sql).scan();
        try (PreparedStatement prepared = session.prepare(sql)) {
            ScannedStatement statement =
                    parts.isEmpty() ? new ScannedStatement("", List.of()) : parts.get(0);
            statements.put(name, toPrepared(statement, prepared, oids));
        }
        out.start('1').end();
    }

    private static Prepared toPrepared(
            ScannedStatement statement, PreparedStatement prepared, int[] declared)
            throws SQLException {
        if (prepared == null) {
            return new Prepared(statement, new int[0], null);
        }
        ParameterMetaData parameters = prepared.getParameterMetaData();
        int[] oids = new int[parameters.getParameterCount()];
        for (int i = 0; i < oids.length; i++) {
            boolean given = i < declared.length && declared[i] != 0;
            oids[i] = given ? declared[i] : parameterOid(parameters, i + 1);
        }
        ResultSetMetaData rows = prepared.getMetaData();
        return new Prepared(statement, oids, rows == null ? null : readColumns(rows));
    }

    private static int parameterOid(ParameterMetaData parameters, int index) throws SQLException {
        return PgTypes.toOid(
                parameters.getParameterType(index), parameters.getParameterTypeName(index));
    }

    private static List<Column> readColumns(ResultSetMetaData rows) throws SQLException {
        List<Column> columns = new ArrayList<>();
        for (int i = 1; i <= rows.getColumnCount(); i++) {
            int oid = PgTypes.toOid(rows.getColumnType(i), rows.getColumnTypeName(i));
            columns.add(new Column(rows.getColumnLabel(i), oid));
        }
        return columns;
    }

    private void handleBind() throws IOException, SQLException {
        String portalName = in.string();
        Prepared prepared = findStatement(in.string());
        int[] formats = readInt16Array();
        int count = in.int16();
        if (count != prepared.typeOids().length) {
            throw new SQLException(
                    "bind message supplies "
                            + count
                            + " parameters, but prepared statement requires "
                            + prepared.typeOids().length,
                    "08P01");
        }
        List<SqlParameter> parameters = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = in.int32();
            byte[] bytes = length < 0 ? null : in.bytes(length);
            int format = formats.length == 0 ? 0 : formats[formats.length == 1 ? 0 : i];
            parameters.add(PgTypes.decode(bytes, prepared.typeOids()[i], format));
        }
        portals.put(portalName, new Portal(prepared, parameters, readInt16Array()));
        out.start('2').end();
    }

    private int[] readInt16Array() throws IOException {
        int[] values = new int[in.int16()];
        for (int i = 0; i < values.length; i++) {
            values[i] = in.int16();
        }
        return values;
    }

    private Prepared findStatement(String name) throws SQLException {
        Prepared prepared = statements.get(name);
        if (prepared == null) {
            throw new SQLException("prepared statement \"" + name + "\" does not exist", "26000");
        }
        return prepared;
    }

    private Portal findPortal(String name) throws SQLException {
        Portal portal = portals.get(name);
        if (portal == null) {
            throw new SQLException("portal \"" + name + "\" does not exist", "34000");
        }
        return portal;
    }

    private void handleDescribe() throws IOException, SQLException {
        char kind = in.byte1();
        String name = in.string();
        if (kind == 'S') {
            Prepared prepared = findStatement(name);
            out.start('t').int16(prepared.typeOids().length);
            for (int oid : prepared.typeOids()) {
                out.int32(oid);
            }
            out.end();
            writeRowDescriptionOrNoData(prepared.columns(), new int[0]);
        } else {
            Portal portal = findPortal(name);
            writeRowDescriptionOrNoData(portal.prepared.columns(), portal.formats);
        }
    }

    private void writeRowDescriptionOrNoData(List<Column> columns, int[] formats)
            throws IOException {
        if (columns == null) {
            out.start('n').end();
        } else {
            writeRowDescription(columns, formats);
        }
    }

    private void writeRowDescription(List<Column> columns, int[] formats) throws IOException {
        out.start('T').int16(columns.size());
        for (int i = 0; i < columns.size(); i++) {
            Column column = columns.get(i);
            int format = formats.length == 0 ? 0 : formats[formats.length == 1 ? 0 : i];
            out.string(column.name()).int32(0).int16(0).int32(column.oid());
            out.int16(PgTypes.typeSizeBytes(column.oid())).int32(-1).int16(format);
        }
        out.end();
    }

    private void handleExecute() throws IOException, SQLException {
        Portal portal = findPortal(in.string());
        int maxRows = in.int32();
        if (portal.prepared.statement().text().isEmpty()) {
            out.start('I').end();
            return;
        }
        if (portal.result == null) {
            portal.result = session.execute(portal.prepared.statement(), portal.parameters);
        }
        SqlSession.SqlResult result = portal.result;
        if (result.rows() == null) {
            out.start('C').string(result.tag(result.count())).end();
        } else if (sendRows(portal, maxRows)) {
            result.statement().close();
            out.start('C').string(result.tag(portal.sentRows)).end();
        } else {
            out.start('s').end();
        }
    }

    /** Sends rows; returns false when the row limit was reached and more rows may follow. */
    private boolean sendRows(Portal portal, int maxRows) throws IOException, SQLException {
        List<Column> columns = portal.prepared.columns();
        int sentNow = 0;
        while (maxRows == 0 || sentNow < maxRows) {
            if (!portal.result.rows().next()) {
                return true;
            }
            out.start('D').int16(columns.size());
            for (int i = 0; i < columns.size(); i++) {
                byte[] value =
                        PgTypes.encode(
                                portal.result.rows(),
                                i + 1,
                                columns.get(i).oid(),
                                portal.format(i));
                if (value == null) {
                    out.int32(-1);
                } else {
                    out.int32(value.length).bytes(value);
                }
            }
            out.end();
            sentNow++;
            portal.sentRows++;
        }
        return false;
    }

    private void handleClose() throws IOException {
        char kind = in.byte1();
        String name = in.string();
        if (kind == 'S') {
            statements.remove(name);
        } else {
            portals.remove(name);
        }
        out.start('3').end();
    }
}
