/** Waiting for connections, and the shares of them. */
package org.chivevale.core.admission;
