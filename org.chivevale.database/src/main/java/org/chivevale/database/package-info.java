/** Connections to endpoints, behind one interface for all kinds of databases. */
package org.chivevale.database;
