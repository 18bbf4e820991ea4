/** Durable storage of the log: checksummed records, the term and vote, and snapshots. */
package org.chivevale.consensus.store;
