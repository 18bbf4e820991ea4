/** Read routing: which endpoint serves a read. */
package org.chivevale.core.route;
