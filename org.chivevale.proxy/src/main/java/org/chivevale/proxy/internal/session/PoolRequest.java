package org.chivevale.proxy.internal.session;

import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.AdmissionRequest;
import org.chivevale.core.config.AllowedRegions;

/**
 * A request for a connection.
 *
 * <p>Immutable.
 *
 * @param admission its place in the order of waiting requests
 * @param allowedRegions the regions in which proxies may receive the statement's text
 */
record PoolRequest(AdmissionRequest admission, AllowedRegions allowedRegions) {
    /** Returns the client account that the connection must belong to. */
    ClientAccountId account() {
        return admission.account();
    }
}
