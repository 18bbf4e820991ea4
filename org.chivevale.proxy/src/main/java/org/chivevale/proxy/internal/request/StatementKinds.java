package org.chivevale.proxy.internal.request;

import java.util.LinkedHashMap;
import java.util.Map;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.core.statement.StatementPolicy;

/**
 * Caches the classification of statements, since callers send few distinct texts many times.
 *
 * <p>Invariant: only permitted statements are cached, at most {@link #CAPACITY} of them, none
 * longer than {@link #LONGEST_CHARS}. Used on the event loop.
 */
final class StatementKinds {
    private static final int CAPACITY = 2000;
    private static final int LONGEST_CHARS = 2000;
    private static final Map<String, StatementKind> KNOWN =
            new LinkedHashMap<>(CAPACITY, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StatementKind> eldest) {
                    return size() > CAPACITY;
                }
            };

    private StatementKinds() {}

    static StatementKind of(String sql) {
        StatementKind cached = KNOWN.get(sql);
        if (cached != null) {
            return cached;
        }
        StatementKind kind = StatementPolicy.classify(sql);
        if (sql.length() <= LONGEST_CHARS) {
            KNOWN.put(sql, kind);
        }
        return kind;
    }
}
