/** A log replicated among several control processes by the Raft algorithm. */
package org.chivevale.consensus.raft;
