/** Carrying out replacements of primaries. */
package org.chivevale.control.internal.failover;
