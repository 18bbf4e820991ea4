/** Asynchronous replication of the log from a primary to its replicas. */
package org.chivevale.endpoint.internal.replication;
