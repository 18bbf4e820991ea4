/** The micro-kernel that starts and stops services. */
package org.chivevale.core.kernel;
