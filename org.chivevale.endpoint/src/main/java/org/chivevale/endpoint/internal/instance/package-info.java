/** Database groups of an endpoint: embedded databases with their logs and roles. */
package org.chivevale.endpoint.internal.instance;
