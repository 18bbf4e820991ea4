/** Callers' sessions, independent of the wire protocol; protocol adapters build on them. */
package org.chivevale.proxy.session;
