package org.chivevale.core.config;

/**
 * An operator's order to send no new work to the endpoints of a data centre.
 *
 * <p>Immutable.
 *
 * @param dataCenter the data centre
 * @param operatorId who gave the order
 * @param requestedUnixMillis wall-clock time of the order, in milliseconds since the epoch
 */
public record Evacuation(String dataCenter, String operatorId, long requestedUnixMillis) {}
