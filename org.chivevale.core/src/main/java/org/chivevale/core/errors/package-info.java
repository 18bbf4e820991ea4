/** Exceptions with numbered result codes. */
package org.chivevale.core.errors;
