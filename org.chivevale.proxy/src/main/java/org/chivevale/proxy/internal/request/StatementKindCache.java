package org.chivevale.proxy.internal.request;

import java.util.LinkedHashMap;
import java.util.Map;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.core.statement.StatementPolicy;

/**
 * Caches the classification of statements, since callers send few distinct texts many times.
 *
 * <p>Invariant: only permitted statements are cached, at most {@link #CAPACITY} of them, none
 * longer than {@link #MAX_CACHED_CHARS}. Used on the event loop.
 */
final class StatementKindCache {
    private static final int CAPACITY = 2000;
    private static final int MAX_CACHED_CHARS = 2000;
    private static final Map<String, StatementKind> CACHE =
            new LinkedHashMap<>(CAPACITY, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StatementKind> eldest) {
                    return size() > CAPACITY;
                }
            };

    private StatementKindCache() {}

    static StatementKind kindOf(String sql) {
        StatementKind cached = CACHE.get(sql);
        if (cached != null) {
            return cached;
        }
        StatementKind kind = StatementPolicy.classify(sql);
        if (sql.length() <= MAX_CACHED_CHARS) {
            CACHE.put(sql, kind);
        }
        return kind;
    }
}
