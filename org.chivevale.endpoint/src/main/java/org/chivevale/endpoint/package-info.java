/** The stand-in endpoint: a PostgreSQL server over an embedded engine, with faults by command. */
package org.chivevale.endpoint;
