package org.chivevale.endpoint.internal.replication;

import org.chivevale.endpoint.internal.instance.LogPoint;

/**
 * Status that a replica reports to its primary.
 *
 * <p>Immutable.
 *
 * @param name the replica's name
 * @param received the log point up to which it holds the log
 * @param replayed the position that its reads see
 */
public record ReplicaStatus(String name, LogPoint received, long replayed) {}
