/** The link to control: the proxy's lease, configuration and members. */
package org.chivevale.proxy.internal.fleet;
