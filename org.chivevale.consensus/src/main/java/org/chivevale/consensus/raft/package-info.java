/** A log replicated among several control processes after the published Raft algorithm. */
package org.chivevale.consensus.raft;
