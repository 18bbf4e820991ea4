package org.chivevale.core.config;

/**
 * A user of the administration API.
 *
 * <p>Immutable.
 *
 * @param id the operator's name
 * @param keyId the public id of the operator's key
 * @param hash the hash of the key's secret
 * @param role what the operator may do
 */
public record Operator(String id, String keyId, byte[] hash, Role role) {
    /** What an operator may do; each role includes the ones before it. */
    public enum Role {
        READ,
        CHANGE,
        ALL
    }
}
