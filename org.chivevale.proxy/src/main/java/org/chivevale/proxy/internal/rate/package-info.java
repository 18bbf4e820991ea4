/** Rate limiting of client accounts. */
package org.chivevale.proxy.internal.rate;
