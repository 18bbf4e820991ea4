/** Measures how the costs of control and proxies grow with the size of the fleet. */
package org.chivevale.load.slopes;
