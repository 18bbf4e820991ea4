/** The service container that starts and stops the services of a process. */
package org.chivevale.core.kernel;
