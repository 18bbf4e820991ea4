package org.chivevale.core.config;

/** Which commits a read of a session must see. */
public enum ReadPolicy {
    /** Every commit that was acknowledged before the read began. */
    PRIMARY,
    /** Every commit that is older than the route's staleness bound. */
    BOUNDED,
    /** As {@link #BOUNDED}, and every commit of the same session. */
    SESSION
}
