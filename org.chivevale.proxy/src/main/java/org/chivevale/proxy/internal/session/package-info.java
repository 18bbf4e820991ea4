/** Execution of session statements: connection pools, endpoint selection, transactions. */
package org.chivevale.proxy.internal.session;
