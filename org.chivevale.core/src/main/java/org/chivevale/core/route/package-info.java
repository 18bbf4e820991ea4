/** Where a read goes. */
package org.chivevale.core.route;
