package org.chivevale.endpoint.internal.instance;

/**
 * Value of a parameter as text with its PostgreSQL type.
 *
 * <p>Immutable.
 *
 * @param typeOid the object id of the type; 0 when unspecified
 * @param text the text form, or null for SQL NULL
 */
public record SqlParameter(int typeOid, String text) {}
