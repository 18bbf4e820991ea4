/** Failures with numbered codes. */
package org.chivevale.core.errors;
