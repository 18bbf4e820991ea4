/** What all processes share: event loop, metrics, command line. */
package org.chivevale.process;
