/** Ids of requests that run at most once. */
package org.chivevale.core.request;
