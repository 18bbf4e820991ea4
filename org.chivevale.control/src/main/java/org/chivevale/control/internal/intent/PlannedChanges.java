package org.chivevale.control.internal.intent;

import java.util.List;
import org.chivevale.wire.proto.Change;

/**
 * What an intent comes to.
 *
 * <p>Immutable.
 *
 * @param changes the changes of the configuration
 * @param descriptions one line for each, for operators
 * @param touches the objects that are changed, as {@code kind:name}
 */
record PlannedChanges(List<Change> changes, List<String> descriptions, List<String> touches) {
    PlannedChanges {
        changes = List.copyOf(changes);
        descriptions = List.copyOf(descriptions);
        touches = List.copyOf(touches);
    }

    static PlannedChanges of(Change.Builder change, String description, String touched) {
        return new PlannedChanges(List.of(change.build()), List.of(description), List.of(touched));
    }
}
