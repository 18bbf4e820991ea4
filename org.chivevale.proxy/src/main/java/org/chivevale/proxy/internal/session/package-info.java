/** How sessions reach endpoints: connections, choice of members, transactions. */
package org.chivevale.proxy.internal.session;
