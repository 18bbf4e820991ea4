/** The configuration that operators have set. */
package org.chivevale.core.config;
