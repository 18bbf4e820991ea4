package org.chivevale.proxy.internal.http;

import org.chivevale.core.config.Account;

/**
 * The authenticated sender of a request.
 *
 * <p>Immutable.
 *
 * @param account the client account
 * @param keyId the id of the key that the request carried
 */
record Caller(Account account, String keyId) {}
