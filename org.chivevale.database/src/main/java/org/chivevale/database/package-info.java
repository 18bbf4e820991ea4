/** Connections to endpoints behind an interface that is independent of the kind of database. */
package org.chivevale.database;
