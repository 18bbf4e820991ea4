/** Load, checks and experiments. */
package org.chivevale.load;
