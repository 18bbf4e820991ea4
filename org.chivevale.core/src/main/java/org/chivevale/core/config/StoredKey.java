package org.chivevale.core.config;

import org.chivevale.core.account.ClientAccountId;

/**
 * What is kept of a client account's key.
 *
 * <p>Immutable; the hash is never changed.
 *
 * @param id the key's public id
 * @param account whom it belongs to
 * @param hash the secret's hash
 */
public record StoredKey(String id, ClientAccountId account, byte[] hash) {}
