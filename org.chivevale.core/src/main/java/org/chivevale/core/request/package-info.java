/** Request ids, which ensure that a request runs at most once. */
package org.chivevale.core.request;
