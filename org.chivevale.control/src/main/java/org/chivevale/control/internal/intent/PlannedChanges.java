package org.chivevale.control.internal.intent;

import java.util.List;
import org.chivevale.wire.proto.Change;

/**
 * The result of planning an intent.
 *
 * <p>Immutable.
 *
 * @param changes the changes to the configuration
 * @param descriptions the effects of the intent, one line each, for operators
 * @param touchedObjects the objects that are changed, as {@code kind:name}
 */
record PlannedChanges(
        List<Change> changes, List<String> descriptions, List<String> touchedObjects) {
    PlannedChanges {
        changes = List.copyOf(changes);
        descriptions = List.copyOf(descriptions);
        touchedObjects = List.copyOf(touchedObjects);
    }

    static PlannedChanges of(Change.Builder change, String description, String touched) {
        return new PlannedChanges(List.of(change.build()), List.of(description), List.of(touched));
    }
}
