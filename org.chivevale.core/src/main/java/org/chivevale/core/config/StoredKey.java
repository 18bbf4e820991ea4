package org.chivevale.core.config;

import org.chivevale.core.account.ClientAccountId;

/**
 * The stored part of a client account's key: its id and hash.
 *
 * <p>Immutable; the hash is never changed.
 *
 * @param id the key's public id
 * @param account the client account that it belongs to
 * @param hash the hash of the secret
 */
public record StoredKey(String id, ClientAccountId account, byte[] hash) {}
