/** The asynchronous log from a primary to its replicas. */
package org.chivevale.endpoint.internal.replication;
