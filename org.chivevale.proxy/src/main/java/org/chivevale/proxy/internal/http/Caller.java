package org.chivevale.proxy.internal.http;

import org.chivevale.core.config.Account;

/**
 * Who sent a request.
 *
 * <p>Immutable.
 *
 * @param account the client account
 * @param keyId the key that came with the request
 */
record Caller(Account account, String keyId) {}
