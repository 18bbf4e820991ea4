package org.chivevale.core.statement;

import java.util.List;

/**
 * One statement and its words.
 *
 * <p>Immutable.
 *
 * @param text the statement without its semicolon
 * @param words keywords and identifiers in lower case, in order
 */
public record ScannedStatement(String text, List<String> words) {
    public ScannedStatement {
        words = List.copyOf(words);
    }

    /**
     * Returns a word.
     *
     * @param index from 0
     * @return the word, or an empty text past the end
     */
    public String word(int index) {
        return index < words.size() ? words.get(index) : "";
    }
}
