package org.chivevale.proxy.internal.fleet;

/**
 * Which members of the fleet a proxy has to know.
 *
 * <p>Immutable.
 */
public enum MemberScope {
    /** The endpoints; for a proxy that forwards nothing to other proxies. */
    ENDPOINTS,
    /** The endpoints and all other proxies. */
    ENDPOINTS_AND_PROXIES
}
