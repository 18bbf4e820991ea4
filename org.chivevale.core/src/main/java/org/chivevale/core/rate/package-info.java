/** Rate limits of client accounts, enforced over all proxies together. */
package org.chivevale.core.rate;
