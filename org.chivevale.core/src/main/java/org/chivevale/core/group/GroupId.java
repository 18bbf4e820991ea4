package org.chivevale.core.group;

import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.util.Checks;

/**
 * Id of a database group: one slot of one database, written {@code database.slot}.
 *
 * <p>Immutable.
 *
 * @param database the database's name
 * @param slot the slot, from 0
 */
public record GroupId(String database, int slot) {
    public static final int MAX_SLOTS = 4096;

    public GroupId {
        Checks.externalName("database", database);
        if (slot < 0 || slot >= MAX_SLOTS) {
            throw new ChivevaleException(
                    ResultCode.SLOT_UNKNOWN,
                    "slot " + slot + " of database " + database + " is out of range");
        }
    }

    /**
     * Parses the text form.
     *
     * @param text {@code database.slot}
     * @return the id
     * @throws ChivevaleException with MALFORMED_REQUEST when it is not of that form
     */
    public static GroupId parse(String text) {
        int dot = text.lastIndexOf('.');
        try {
            return new GroupId(text.substring(0, dot), Integer.parseInt(text.substring(dot + 1)));
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST, "group '" + text + "' is not database.slot");
        }
    }

    @Override
    public String toString() {
        return database + "." + slot;
    }
}
