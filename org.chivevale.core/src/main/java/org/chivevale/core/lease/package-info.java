/** The fleet lease, as its grantor and its holders count it. */
package org.chivevale.core.lease;
