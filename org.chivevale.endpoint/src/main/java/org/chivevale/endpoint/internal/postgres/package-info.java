/** Server side of the PostgreSQL protocol on top of the embedded engine. */
package org.chivevale.endpoint.internal.postgres;
