/** Consensus among control processes: the replicated log, its storage and its state machine. */
package org.chivevale.consensus;
