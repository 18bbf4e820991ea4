/** The proxy between callers and databases. */
package org.chivevale.proxy;
