/** Parses requests, executes them on endpoints and serializes the responses. */
package org.chivevale.proxy.internal.request;
