/** Admission by client accounts' rates. */
package org.chivevale.proxy.internal.rate;
