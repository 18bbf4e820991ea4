/** The server's side of the PostgreSQL protocol over the embedded engine. */
package org.chivevale.endpoint.internal.postgres;
