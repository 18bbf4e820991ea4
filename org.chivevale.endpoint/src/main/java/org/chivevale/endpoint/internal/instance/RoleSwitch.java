package org.chivevale.endpoint.internal.instance;

import java.lang.reflect.Field;
import java.sql.Connection;
import java.sql.SQLException;
import org.h2.engine.SessionLocal;
import org.h2.engine.User;
import org.h2.jdbc.JdbcConnection;
import org.h2.schema.Schema;

/**
 * Sets the role and the schema of an embedded session, like {@code SET ROLE} of PostgreSQL.
 *
 * <p>The embedded engine has no such command. The user of its session is set by reflection, so that
 * the engine's own privilege checks apply. Stateless and thread safe; a session is used by one
 * thread.
 */
public final class RoleSwitch {
    private static final Field USER_FIELD = findUserField();

    private RoleSwitch() {}

    private static Field findUserField() {
        try {
            Field field = SessionLocal.class.getDeclaredField("user");
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(e);
        }
    }

    private static SessionLocal session(Connection connection) {
        return (SessionLocal) ((JdbcConnection) connection).getSession();
    }

    /**
     * Sets the role.
     *
     * @param connection the embedded connection
     * @param role the user whose privileges apply
     * @throws SQLException with state 22023 when there is no such user
     */
    public static void setRole(Connection connection, String role) throws SQLException {
        SessionLocal session = session(connection);
        User user = session.getDatabase().findUser(role);
        if (user == null) {
            throw new SQLException("role \"" + role + "\" does not exist", "22023");
        }
        try {
            USER_FIELD.set(session, user);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Sets the current schema; falls back to the public schema, which is empty.
     *
     * @param connection the embedded connection
     * @param name the schema's name; need not exist
     */
    public static void setSchema(Connection connection, String name) {
        SessionLocal session = session(connection);
        Schema schema = session.getDatabase().findSchema(name);
        session.setCurrentSchema(
                schema != null ? schema : session.getDatabase().findSchema("public"));
    }

    /**
     * Tells whether the current role has administrator privileges.
     *
     * @param connection the embedded connection
     * @return true for the login role
     */
    static boolean isAdmin(Connection connection) {
        return session(connection).getUser().isAdmin();
    }
}
