/** Sessions over a connection: their statements, and what answers to them promise. */
package org.chivevale.core.interactive;
