/** Utilities. */
package org.chivevale.core.util;
