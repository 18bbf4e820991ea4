/** Common parts of all processes: event loop, metrics, command line, settings reload. */
package org.chivevale.process;
