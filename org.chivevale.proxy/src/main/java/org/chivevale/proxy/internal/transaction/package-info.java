/** Interactive transactions, here and at other proxies. */
package org.chivevale.proxy.internal.transaction;
