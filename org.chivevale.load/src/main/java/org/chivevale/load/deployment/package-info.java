/** Deployments on loopback for tests and measurements. */
package org.chivevale.load.deployment;
