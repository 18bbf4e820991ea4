/** A deployment of the brief's size with traffic. */
package org.chivevale.load.demo;
