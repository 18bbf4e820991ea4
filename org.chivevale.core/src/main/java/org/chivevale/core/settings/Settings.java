package org.chivevale.core.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads a TOML file of settings and checks each value.
 *
 * <p>Contract: read every setting, then call {@link #check}, which reports all errors at once; each
 * names file, line, key and the accepted values. Keys that were not read are errors too. Not thread
 * safe.
 */
public final class Settings {
    private final String file;
    private final TomlParseResult toml;
    private final List<String> errors = new ArrayList<>();
    private final Set<String> readKeys = new HashSet<>();

    private Settings(String file, TomlParseResult toml) {
        this.file = file;
        this.toml = toml;
        for (TomlParseError error : toml.errors()) {
            errors.add(file + ":" + error.position().line() + ": " + error.getMessage());
        }
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return its settings
     * @throws ChivevaleException with SETTINGS_INVALID when it can't be read
     */
    public static Settings read(Path path) {
        try {
            return new Settings(path.toString(), Toml.parse(path));
        } catch (IOException e) {
            throw new ChivevaleException(
                    ResultCode.SETTINGS_INVALID, path + ": can't be read: " + e.getMessage());
        }
    }

    /**
     * Parses settings.
     *
     * @param name the file name that errors show
     * @param text the TOML text
     * @return the settings
     */
    public static Settings parse(String name, String text) {
        return new Settings(name, Toml.parse(text));
    }

    /**
     * Reads a required string.
     *
     * @param key dotted key
     * @param accepted the accepted values, for the error message
     * @return the string; empty after an error
     */
    public String text(String key, String accepted) {
        Object value = value(key);
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        reject(key, value, accepted);
        return "";
    }

    /**
     * Reads a string with a default.
     *
     * @param key dotted key
     * @param fallback default when the key is missing
     * @param accepted the accepted values, for the error message
     * @return the string
     */
    public String text(String key, String fallback, String accepted) {
        return value(key) == null ? fallback : text(key, accepted);
    }

    /**
     * Reads a whole number with a default.
     *
     * @param key dotted key
     * @param fallback default when the key is missing
     * @param min smallest accepted value
     * @param max largest accepted value
     * @return the number
     */
    public int number(String key, int fallback, int min, int max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Long number && number >= min && number <= max) {
            return number.intValue();
        }
        reject(key, value, "a whole number from " + min + " to " + max);
        return fallback;
    }

    /**
     * Reads a number, whole or not, with a default.
     *
     * @param key dotted key
     * @param fallback default when the key is missing
     * @param min smallest accepted value
     * @param max largest accepted value
     * @return the number
     */
    public double decimal(String key, double fallback, double min, double max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Number number
                && number.doubleValue() >= min
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        reject(key, value, "a number from " + min + " to " + max);
        return fallback;
    }

    /**
     * Reads a boolean with a default.
     *
     * @param key dotted key
     * @param fallback default when the key is missing
     * @return the value
     */
    public boolean flag(String key, boolean fallback) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        reject(key, value, "true or false");
        return fallback;
    }

    /**
     * Reads a required address.
     *
     * @param key dotted key
     * @return the address; port 0 stands for any free port
     */
    public HostPort address(String key) {
        String text = text(key, "\"IP:PORT\"");
        return text.isEmpty() ? new HostPort("127.0.0.1", 0) : address(key, text);
    }

    private HostPort address(String key, String text) {
        try {
            return HostPort.parse(text);
        } catch (ChivevaleException e) {
            reject(key, text, "\"IP:PORT\"");
            return new HostPort("127.0.0.1", 0);
        }
    }

    /**
     * Reads an address with a default.
     *
     * @param key dotted key
     * @param fallback default when the key is missing
     * @return the address
     */
    public HostPort address(String key, HostPort fallback) {
        return value(key) == null ? fallback : address(key);
    }

    /**
     * Reads a list of addresses.
     *
     * @param key dotted key
     * @return the addresses; empty when the key is missing
     */
    public List<HostPort> addresses(String key) {
        List<HostPort> addresses = new ArrayList<>();
        for (String text : texts(key)) {
            addresses.add(address(key, text));
        }
        return addresses;
    }

    /**
     * Reads a table of strings.
     *
     * @param key name of the table
     * @return its entries; empty when it is missing
     */
    public Map<String, String> table(String key) {
        Map<String, String> entries = new LinkedHashMap<>();
        TomlTable table = toml.isTable(key) ? toml.getTable(key) : null;
        if (table == null) {
            return entries;
        }
        for (String name : table.keySet()) {
            Object value = table.get(List.of(name));
            readKeys.add(
                    Toml.joinKeyPath(List.of(key.split("\\.")))
                            + "."
                            + Toml.joinKeyPath(List.of(name)));
            if (value instanceof String text) {
                entries.put(name, text);
            } else {
                reject(key, value, "strings");
            }
        }
        return entries;
    }

    /**
     * Reads a list of strings.
     *
     * @param key dotted key
     * @return the strings; empty when the key is missing
     */
    public List<String> texts(String key) {
        Object value = value(key);
        List<String> texts = new ArrayList<>();
        if (value == null) {
            return texts;
        }
        if (!(value instanceof TomlArray array)) {
            reject(key, value, "a list of strings");
            return texts;
        }
        for (Object item : array.toList()) {
            if (item instanceof String text) {
                texts.add(text);
            } else {
                reject(key, item, "a list of strings");
            }
        }
        return texts;
    }

    /**
     * Records an error for a value that fails a check of the caller.
     *
     * @param key dotted key
     * @param value the given value, or null when it is missing
     * @param accepted the accepted values, for the error message
     */
    public void reject(String key, Object value, String accepted) {
        String given = value == null ? "is missing" : "is " + quote(value);
        errors.add(file + ":" + line(key) + ": " + key + " " + given + "; accepted: " + accepted);
    }

    /**
     * Throws if any setting is invalid or unknown.
     *
     * @throws ChivevaleException with SETTINGS_INVALID and all errors
     */
    public void check() {
        for (String key : toml.dottedKeySet()) {
            if (!readKeys.contains(key)) {
                errors.add(file + ":" + line(key) + ": " + key + " is not a known setting");
            }
        }
        checkValues();
    }

    /**
     * Throws if any setting that was read is invalid; settings that were not read are allowed.
     *
     * @throws ChivevaleException with SETTINGS_INVALID and all errors
     */
    public void checkValues() {
        if (!errors.isEmpty()) {
            throw new ChivevaleException(
                    ResultCode.SETTINGS_INVALID, String.join(System.lineSeparator(), errors));
        }
    }

    /**
     * Tells whether a key is present.
     *
     * @param key dotted key
     * @return true also for a table and for an empty list
     */
    public boolean has(String key) {
        return toml.contains(key);
    }

    private Object value(String key) {
        readKeys.add(key);
        try {
            return toml.get(key);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private int line(String key) {
        TomlPosition position = toml.inputPositionOf(key);
        return position == null ? 1 : position.line();
    }

    private static String quote(Object value) {
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
