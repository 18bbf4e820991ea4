/** Session tokens: what a caller must see. */
package org.chivevale.core.session;
