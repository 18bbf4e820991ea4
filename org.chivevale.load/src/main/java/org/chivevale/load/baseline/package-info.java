/** A baseline server without a proxy, and the comparison of the proxy with it. */
package org.chivevale.load.baseline;
