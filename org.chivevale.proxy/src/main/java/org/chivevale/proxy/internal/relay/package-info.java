/** Statements that run over the connections of another proxy. */
package org.chivevale.proxy.internal.relay;
