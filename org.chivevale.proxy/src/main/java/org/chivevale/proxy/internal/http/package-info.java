/** The HTTP API for callers. */
package org.chivevale.proxy.internal.http;
