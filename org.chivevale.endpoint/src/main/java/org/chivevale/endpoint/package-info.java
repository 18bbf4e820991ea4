/** Stand-in endpoint: a PostgreSQL server on an embedded engine, with fault injection. */
package org.chivevale.endpoint;
