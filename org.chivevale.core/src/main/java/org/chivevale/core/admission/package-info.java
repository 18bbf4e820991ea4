/** Admission control: queueing for connections and sharing them among proxies. */
package org.chivevale.core.admission;
