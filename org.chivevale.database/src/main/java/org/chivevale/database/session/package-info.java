/** Connections that carry the statements of callers' sessions to endpoints. */
package org.chivevale.database.session;
