/** Callers' sessions over a connection, for adapters of any protocol. */
package org.chivevale.proxy.session;
