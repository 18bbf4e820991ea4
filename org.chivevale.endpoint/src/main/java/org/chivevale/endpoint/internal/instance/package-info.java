/** Database groups on an endpoint: embedded databases, their logs and roles. */
package org.chivevale.endpoint.internal.instance;
