/** The proxy's lease, configuration and members. */
package org.chivevale.proxy.internal.fleet;
