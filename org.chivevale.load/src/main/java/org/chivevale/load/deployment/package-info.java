/** Trial deployments on loopback. */
package org.chivevale.load.deployment;
