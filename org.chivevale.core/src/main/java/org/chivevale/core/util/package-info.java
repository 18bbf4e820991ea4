/** Small helpers. */
package org.chivevale.core.util;
