package org.chivevale.system;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.chivevale.load.deployment.Deployment;
import org.chivevale.load.deployment.DeploymentPlan;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests the wire protocol of the simulated endpoint with the PostgreSQL JDBC driver. */
class EndpointProtocolTest {
    private static final int CONNECTION_LIMIT = 6;

    private static Deployment deployment;
    private static String url;

    @BeforeAll
    static void start() {
        deployment =
                new Deployment(
                        new DeploymentPlan(
                                List.of("muscat"),
                                0,
                                1,
                                List.of(
                                        new DeploymentPlan.DatabasePlan(
                                                "plain", 1, 1, CONNECTION_LIMIT, "primary")),
                                List.of(),
                                List.of(),
                                List.of()),
                        TestDeployments.createTempFolder());
        deployment.start();
        url =
                "jdbc:postgresql://"
                        + deployment.endpoints().get("plain-1").listen()
                        + "/plain.0?user=chivevale&password=stand-in&sslmode=disable"
                        + "&prepareThreshold=1";
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @Test
    void valuesOfEachTypeRoundTripInTextAndBinaryFormat() throws SQLException {
        try (Connection connection = DriverManager.getConnection(url);
                Statement statement = connection.createStatement()) {
            statement.execute(
                    "CREATE TABLE kinds (id int PRIMARY KEY, big bigint, real8 double precision,"
                            + " exact numeric(20, 6), flag boolean, note varchar(50), at"
                            + " timestamp with time zone, uid uuid, raw bytea)");
            OffsetDateTime at = OffsetDateTime.of(2026, 12, 4, 5, 6, 7, 123000, ZoneOffset.UTC);
            UUID uuid = UUID.randomUUID();
            try (PreparedStatement insert =
                    connection.prepareStatement(
                            "INSERT INTO kinds VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)")) {
                for (int i = 1; i <= 3; i++) {
                    insert.setInt(1, i);
                    insert.setLong(2, Long.MIN_VALUE + i);
                    insert.setDouble(3, 1.5 * i);
                    insert.setBigDecimal(4, new BigDecimal("-12345.678900"));
                    insert.setBoolean(5, i % 2 == 0);
                    insert.setString(6, i == 3 ? null : "ünï " + i);
                    insert.setObject(7, at);
                    insert.setObject(8, uuid);
                    insert.setBytes(9, new byte[] {0, 1, (byte) 0xFF});
                    assertEquals(1, insert.executeUpdate());
                }
            }
            try (PreparedStatement select =
                    connection.prepareStatement("SELECT * FROM kinds WHERE id = ?")) {
                for (int i = 1; i <= 3; i++) {
                    select.setInt(1, i);
                    try (ResultSet row = select.executeQuery()) {
                        assertTrue(row.next());
                        assertEquals(Long.MIN_VALUE + i, row.getLong(2));
                        assertEquals(1.5 * i, row.getDouble(3));
                        assertEquals(
                                0, new BigDecimal("-12345.6789").compareTo(row.getBigDecimal(4)));
                        assertEquals(i % 2 == 0, row.getBoolean(5));
                        assertEquals(i == 3 ? null : "ünï " + i, row.getString(6));
                        assertEquals(at, row.getObject(7, OffsetDateTime.class));
                        assertEquals(uuid, row.getObject(8));
                        assertArrayEquals(new byte[] {0, 1, (byte) 0xFF}, row.getBytes(9));
                    }
                }
            }
        }
    }

    @Test
    void errorsReportTheirSqlStateAndAbortTheTransaction() throws SQLException {
        try (Connection connection = DriverManager.getConnection(url);
                Statement statement = connection.createStatement()) {
            statement.execute("CREATE TABLE once (id int PRIMARY KEY)");
            statement.execute("INSERT INTO once VALUES (1)");
            connection.setAutoCommit(false);
            statement.execute("INSERT INTO once VALUES (2)");
            assertEquals("23505", sqlStateOf(statement, "INSERT INTO once VALUES (1)"));
            assertEquals("25P02", sqlStateOf(statement, "SELECT 1"));
            connection.rollback();
            assertEquals("42P01", sqlStateOf(statement, "SELECT * FROM nowhere"));
            connection.rollback();
            assertEquals("42601", sqlStateOf(statement, "SELEC 1"));
            connection.rollback();
            assertEquals("22012", sqlStateOf(statement, "SELECT id / 0 FROM once"));
            connection.rollback();
            try (ResultSet rows = statement.executeQuery("SELECT count(*) FROM once")) {
                assertTrue(rows.next());
                assertEquals(1, rows.getInt(1));
            }
        }
    }

    private static String sqlStateOf(Statement statement, String sql) {
        return assertThrows(SQLException.class, () -> statement.execute(sql)).getSQLState();
    }

    @Test
    void rowsAreFetchedInBatchesAndReturningProducesRows() throws SQLException {
        try (Connection connection = DriverManager.getConnection(url);
                Statement statement = connection.createStatement()) {
            statement.execute("CREATE TABLE many (id int)");
            connection.setAutoCommit(false);
            for (int i = 0; i < 25; i++) {
                statement.execute("INSERT INTO many VALUES (" + i + ")");
            }
            try (PreparedStatement select =
                    connection.prepareStatement("SELECT id FROM many ORDER BY id")) {
                select.setFetchSize(10);
                int next = 0;
                try (ResultSet rows = select.executeQuery()) {
                    while (rows.next()) {
                        assertEquals(next, rows.getInt(1));
                        next++;
                    }
                }
                assertEquals(25, next);
            }
            try (ResultSet row =
                    statement.executeQuery("INSERT INTO many VALUES (99) RETURNING id")) {
                assertTrue(row.next());
                assertEquals(99, row.getInt(1));
            }
            connection.rollback();
        }
    }

    @Test
    void connectionsOverTheLimitAndWrongPasswordsAreRejected() throws SQLException {
        String wrongPasswordUrl = url.replace("password=stand-in", "password=wrong");
        assertEquals(
                "28P01",
                assertThrows(
                                SQLException.class,
                                () -> DriverManager.getConnection(wrongPasswordUrl))
                        .getSQLState());
        List<Connection> open = new ArrayList<>();
        try {
            SQLException refused =
                    assertThrows(
                            SQLException.class,
                            () -> {
                                for (int i = 0; i <= CONNECTION_LIMIT; i++) {
                                    open.add(DriverManager.getConnection(url));
                                }
                            });
            assertEquals("53300", refused.getSQLState());
        } finally {
            for (Connection connection : open) {
                connection.close();
            }
        }
    }

    @Test
    void administrationFunctionsReportThePrimaryRole() throws SQLException {
        try (Connection connection = DriverManager.getConnection(url);
                Statement statement = connection.createStatement();
                ResultSet row =
                        statement.executeQuery(
                                "SELECT pg_is_in_recovery(), pg_current_wal_lsn()::text,"
                                        + " substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8)")) {
            assertTrue(row.next());
            assertEquals(false, row.getBoolean(1));
            assertTrue(row.getString(2).matches("[0-9A-F]+/[0-9A-F]+"));
            assertEquals("00000001", row.getString(3));
        }
    }
}
