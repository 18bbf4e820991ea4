package org.chivevale.endpoint.internal.postgres;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Types;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.temporal.ChronoField;
import java.time.temporal.ChronoUnit;
import java.util.HexFormat;
import java.util.UUID;
import org.chivevale.endpoint.internal.instance.SqlParameter;

/**
 * Converts values between the embedded engine and PostgreSQL's text and binary formats.
 *
 * <p>Text formats follow the input and output functions of PostgreSQL's types, binary formats their
 * send and receive functions. Stateless and thread safe.
 */
final class PgTypes {
    static final int BOOL = 16;
    static final int BYTEA = 17;
    static final int INT8 = 20;
    static final int INT2 = 21;
    static final int INT4 = 23;
    static final int TEXT = 25;
    static final int FLOAT4 = 700;
    static final int FLOAT8 = 701;
    static final int DATE = 1082;
    static final int TIME = 1083;
    static final int TIMESTAMP = 1114;
    static final int TIMESTAMPTZ = 1184;
    static final int NUMERIC = 1700;
    static final int UUID_OID = 2950;
    static final int BINARY_FORMAT = 1;

    private static final LocalDateTime POSTGRES_EPOCH = LocalDateTime.of(2000, 1, 1, 0, 0);
    private static final DateTimeFormatter TIMESTAMP_TEXT =
            new DateTimeFormatterBuilder()
                    .append(DateTimeFormatter.ISO_LOCAL_DATE)
                    .appendLiteral(' ')
                    .appendPattern("HH:mm:ss")
                    .appendFraction(ChronoField.MICRO_OF_SECOND, 0, 6, true)
                    .toFormatter();
    private static final int NUMERIC_BASE = 10_000;
    private static final int NUMERIC_DIGITS_PER_GROUP = 4;
    private static final int NUMERIC_NEGATIVE = 0x4000;

    private PgTypes() {}

    /** Returns the object id of the PostgreSQL type for a JDBC type. */
    static int toOid(int jdbcType, String typeName) {
        return switch (jdbcType) {
            case Types.BOOLEAN, Types.BIT -> BOOL;
            case Types.TINYINT, Types.SMALLINT -> INT2;
            case Types.INTEGER -> INT4;
            case Types.BIGINT -> INT8;
            case Types.REAL -> FLOAT4;
            case Types.FLOAT, Types.DOUBLE -> FLOAT8;
            case Types.NUMERIC, Types.DECIMAL -> NUMERIC;
            case Types.DATE -> DATE;
            case Types.TIME -> TIME;
            case Types.TIMESTAMP -> TIMESTAMP;
            case Types.TIMESTAMP_WITH_TIMEZONE -> TIMESTAMPTZ;
            case Types.BINARY, Types.VARBINARY, Types.LONGVARBINARY, Types.BLOB ->
                    typeName.equalsIgnoreCase("UUID") ? UUID_OID : BYTEA;
            default -> typeName.equalsIgnoreCase("UUID") ? UUID_OID : TEXT;
        };
    }

    /** Returns the type size in RowDescription; -1 for types of variable length. */
    static int typeSizeBytes(int oid) {
        return switch (oid) {
            case BOOL -> 1;
            case INT2 -> 2;
            case INT4, FLOAT4, DATE -> 4;
            case INT8, FLOAT8, TIME, TIMESTAMP, TIMESTAMPTZ -> 8;
            case UUID_OID -> 16;
            default -> -1;
        };
    }

    /** Encodes a column's value; returns null for SQL NULL. */
    static byte[] encode(ResultSet row, int column, int oid, int format)
            throws SQLException, IOException {
        Object value = readValue(row, column, oid);
        if (value == null) {
            return null;
        }
        return format == BINARY_FORMAT
                ? encodeBinary(value, oid)
                : encodeText(value, oid).getBytes(StandardCharsets.UTF_8);
    }

    private static Object readValue(ResultSet row, int column, int oid) throws SQLException {
        return switch (oid) {
            case DATE -> row.getObject(column, LocalDate.class);
            case TIME -> row.getObject(column, LocalTime.class);
            case TIMESTAMP -> row.getObject(column, LocalDateTime.class);
            case TIMESTAMPTZ -> row.getObject(column, OffsetDateTime.class);
            case UUID_OID -> row.getObject(column, UUID.class);
            case BYTEA -> row.getBytes(column);
            case NUMERIC -> row.getBigDecimal(column);
            case TEXT -> row.getString(column);
            default -> row.getObject(column);
        };
    }

    private static String encodeText(Object value, int oid) {
        return switch (oid) {
            case BOOL -> Boolean.TRUE.equals(value) ? "t" : "f";
            case BYTEA -> "\\x" + HexFormat.of().formatHex((byte[]) value);
            case TIMESTAMP -> TIMESTAMP_TEXT.format((LocalDateTime) value);
            case TIMESTAMPTZ ->
                    TIMESTAMP_TEXT.format(
                                    ((OffsetDateTime) value)
                                            .withOffsetSameInstant(ZoneOffset.UTC)
                                            .toLocalDateTime())
                            + "+00";
            case NUMERIC -> ((BigDecimal) value).toPlainString();
            default -> value.toString();
        };
    }

    private static byte[] encodeBinary(Object value, int oid) throws IOException {
        return switch (oid) {
            case BOOL -> new byte[] {(byte) (Boolean.TRUE.equals(value) ? 1 : 0)};
            case INT2 -> buffer(2).putShort(((Number) value).shortValue()).array();
            case INT4 -> buffer(4).putInt(((Number) value).intValue()).array();
            case INT8 -> buffer(8).putLong(((Number) value).longValue()).array();
            case FLOAT4 -> buffer(4).putFloat(((Number) value).floatValue()).array();
            case FLOAT8 -> buffer(8).putDouble(((Number) value).doubleValue()).array();
            case BYTEA -> (byte[]) value;
            case DATE ->
                    buffer(4)
                            .putInt(
                                    (int)
                                            ChronoUnit.DAYS.between(
                                                    POSTGRES_EPOCH.toLocalDate(),
                                                    (LocalDate) value))
                            .array();
            case TIME -> buffer(8).putLong(((LocalTime) value).toNanoOfDay() / 1000).array();
            case TIMESTAMP -> buffer(8).putLong(microsSinceEpoch((LocalDateTime) value)).array();
            case TIMESTAMPTZ ->
                    buffer(8)
                            .putLong(
                                    microsSinceEpoch(
                                            ((OffsetDateTime) value)
                                                    .withOffsetSameInstant(ZoneOffset.UTC)
                                                    .toLocalDateTime()))
                            .array();
            case UUID_OID -> {
                UUID uuid = (UUID) value;
                yield buffer(16)
                        .putLong(uuid.getMostSignificantBits())
                        .putLong(uuid.getLeastSignificantBits())
                        .array();
            }
            case NUMERIC -> encodeNumeric((BigDecimal) value);
            default -> value.toString().getBytes(StandardCharsets.UTF_8);
        };
    }

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size);
    }

    private static long microsSinceEpoch(LocalDateTime time) {
        return ChronoUnit.MICROS.between(POSTGRES_EPOCH, time);
    }

    private static byte[] encodeNumeric(BigDecimal value) throws IOException {
        int scale = Math.max(0, value.scale());
        int fractionGroups = (scale + NUMERIC_DIGITS_PER_GROUP - 1) / NUMERIC_DIGITS_PER_GROUP;
        BigInteger unscaled =
                value.abs().setScale(fractionGroups * NUMERIC_DIGITS_PER_GROUP).unscaledValue();
        java.util.ArrayDeque<Integer> groups = new java.util.ArrayDeque<>();
        BigInteger base = BigInteger.valueOf(NUMERIC_BASE);
        while (unscaled.signum() > 0) {
            BigInteger[] parts = unscaled.divideAndRemainder(base);
            groups.addFirst(parts[1].intValue());
            unscaled = parts[0];
        }
        int weight = groups.size() - fractionGroups - 1;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeShort(groups.size());
        out.writeShort(groups.isEmpty() ? 0 : weight);
        out.writeShort(value.signum() < 0 ? NUMERIC_NEGATIVE : 0);
        out.writeShort(scale);
        for (int group : groups) {
            out.writeShort(group);
        }
        return bytes.toByteArray();
    }

    /** Decodes a parameter from the text or binary format. */
    static SqlParameter decode(byte[] bytes, int oid, int format) throws SQLException {
        if (bytes == null) {
            return new SqlParameter(oid, null);
        }
        if (format != BINARY_FORMAT) {
            return new SqlParameter(oid, new String(bytes, StandardCharsets.UTF_8));
        }
        try {
            return new SqlParameter(oid, decodeBinary(ByteBuffer.wrap(bytes), oid));
        } catch (java.nio.BufferUnderflowException e) {
            throw new SQLException("incorrect binary data format", "22P03", e);
        }
    }

    private static String decodeBinary(ByteBuffer in, int oid) {
        return switch (oid) {
            case BOOL -> in.get() != 0 ? "t" : "f";
            case INT2 -> Short.toString(in.getShort());
            case INT4 -> Integer.toString(in.getInt());
            case INT8 -> Long.toString(in.getLong());
            case FLOAT4 -> Float.toString(in.getFloat());
            case FLOAT8 -> Double.toString(in.getDouble());
            case BYTEA -> "\\x" + HexFormat.of().formatHex(in.array());
            case DATE -> POSTGRES_EPOCH.toLocalDate().plusDays(in.getInt()).toString();
            case TIME -> LocalTime.ofNanoOfDay(in.getLong() * 1000).toString();
            case TIMESTAMP ->
                    TIMESTAMP_TEXT.format(POSTGRES_EPOCH.plus(in.getLong(), ChronoUnit.MICROS));
            case TIMESTAMPTZ ->
                    TIMESTAMP_TEXT.format(POSTGRES_EPOCH.plus(in.getLong(), ChronoUnit.MICROS))
                            + "+00";
            case UUID_OID -> new UUID(in.getLong(), in.getLong()).toString();
            case NUMERIC -> decodeNumeric(in).toPlainString();
            default -> new String(in.array(), StandardCharsets.UTF_8);
        };
    }

    private static BigDecimal decodeNumeric(ByteBuffer in) {
        int count = in.getShort();
        int weight = in.getShort();
        int sign = in.getShort();
        int scale = in.getShort();
        BigDecimal value = BigDecimal.ZERO;
        for (int i = 0; i < count; i++) {
            int exponent = (weight - i) * NUMERIC_DIGITS_PER_GROUP;
            value = value.add(BigDecimal.valueOf(in.getShort()).scaleByPowerOfTen(exponent));
        }
        BigDecimal scaled = value.setScale(scale, java.math.RoundingMode.HALF_UP);
        return sign == NUMERIC_NEGATIVE ? scaled.negate() : scaled;
    }
}
