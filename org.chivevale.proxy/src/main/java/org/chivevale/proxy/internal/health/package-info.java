/** Probing primaries. */
package org.chivevale.proxy.internal.health;
