/** Rates and bursts over all proxies together. */
package org.chivevale.core.rate;
