package org.chivevale.proxy.internal.session;

import org.chivevale.core.config.Group;
import org.chivevale.core.group.TermPosition;

/**
 * Where a statement shall run and what must hold there.
 *
 * <p>Immutable.
 *
 * @param pool connections to the member
 * @param group the database group as it was when the place was chosen
 * @param primary true when the member is chosen because it leads
 * @param since the position that its log must hold; null at the primary
 */
record Placement(EndpointPool pool, Group group, boolean primary, TermPosition since) {}
