/** The data folder: synced records with checksums, term and vote, snapshots. */
package org.chivevale.consensus.store;
