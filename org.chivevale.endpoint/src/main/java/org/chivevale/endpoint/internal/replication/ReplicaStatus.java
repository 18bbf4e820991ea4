package org.chivevale.endpoint.internal.replication;

import org.chivevale.endpoint.internal.instance.LogPoint;

/**
 * What a replica tells its primary.
 *
 * <p>Immutable.
 *
 * @param name the replica's name
 * @param received the place up to which it holds the log
 * @param replayed the position that its reads see
 */
public record ReplicaStatus(String name, LogPoint received, long replayed) {}
