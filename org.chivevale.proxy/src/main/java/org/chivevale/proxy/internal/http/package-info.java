/** The callers' API. */
package org.chivevale.proxy.internal.http;
