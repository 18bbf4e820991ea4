/** The plain baseline and the comparison with it. */
package org.chivevale.load.baseline;
