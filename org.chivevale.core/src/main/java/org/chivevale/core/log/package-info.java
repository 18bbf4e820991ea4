/** How processes write their logs. */
package org.chivevale.core.log;
