/** Session tokens: the log positions that a session's reads must see. */
package org.chivevale.core.session;
