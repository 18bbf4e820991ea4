/** Interactive transactions, and the forwarding of their steps between proxies. */
package org.chivevale.proxy.internal.transaction;
