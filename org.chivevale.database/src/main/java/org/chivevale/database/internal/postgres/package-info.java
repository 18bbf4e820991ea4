/** Connections to PostgreSQL endpoints through the Vert.x PostgreSQL client. */
package org.chivevale.database.internal.postgres;
