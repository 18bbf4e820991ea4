/** Load generator, history checker and measurements. */
package org.chivevale.load;
