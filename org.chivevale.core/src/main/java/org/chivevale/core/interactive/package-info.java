/** Interactive sessions: their statements, and the guarantees that errors give. */
package org.chivevale.core.interactive;
