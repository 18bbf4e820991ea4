/** A demonstration: a deployment on loopback with load and a failover. */
package org.chivevale.load.demo;
