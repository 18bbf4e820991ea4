package org.chivevale.core.statement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Splits SQL text into statements and words, skipping literals and comments.
 *
 * <p>Understands PostgreSQL's lexical rules for strings, escape strings, dollar quotes, quoted
 * identifiers and nested comments; see "Lexical Structure" in the PostgreSQL documentation. It does
 * not check the grammar. Not thread safe.
 */
public final class SqlScanner {
    /** Word that stands before an identifier with Unicode escapes, which are not decoded. */
    static final String UNICODE_IDENTIFIER = "u&";

    private final String sql;
    private final List<ScannedStatement> statements = new ArrayList<>();
    private List<String> words = new ArrayList<>();
    private int statementStart;
    private boolean hasContent;
    private int position;

    /**
     * Creates a scanner.
     *
     * @param sql the SQL text
     */
    public SqlScanner(String sql) {
        this.sql = sql;
    }

    /**
     * Scans the text.
     *
     * @return the statements that are not empty, in order
     */
    public List<ScannedStatement> scan() {
        while (position < sql.length()) {
            step();
        }
        endStatement();
        return statements;
    }

    private void step() {
        char c = sql.charAt(position);
        if (c == ';') {
            endStatement();
            position++;
            statementStart = position;
        } else if (Character.isWhitespace(c)) {
            position++;
        } else if (lookingAt("--")) {
            skipLine();
        } else if (lookingAt("/*")) {
            skipComment();
        } else if (c == '\'') {
            skipString(false);
        } else if (c == '"') {
            readQuotedIdentifier();
        } else if (c == '$' && !continuesWord()) {
            skipDollarQuote();
        } else if (Character.isJavaIdentifierStart(c)) {
            readWord();
        } else {
            hasContent = true;
            position++;
        }
    }

    private boolean lookingAt(String text) {
        return sql.startsWith(text, position);
    }

    private boolean continuesWord() {
        return position > 0 && Character.isJavaIdentifierPart(sql.charAt(position - 1));
    }

    private void skipLine() {
        int end = sql.indexOf('\n', position);
        position = end < 0 ? sql.length() : end + 1;
    }

    private void skipComment() {
        int depth = 1;
        position += 2;
        while (position < sql.length() && depth > 0) {
            if (lookingAt("/*")) {
                depth++;
                position += 2;
            } else if (lookingAt("*/")) {
                depth--;
                position += 2;
            } else {
                position++;
            }
        }
    }

    private void skipString(boolean backslashEscapes) {
        hasContent = true;
        position++;
        while (position < sql.length()) {
            char c = sql.charAt(position);
            position++;
            if (c == '\\' && backslashEscapes) {
                position++;
            } else if (c == '\'') {
                if (position >= sql.length() || sql.charAt(position) != '\'') {
                    return;
                }
                position++;
            }
        }
        position = Math.min(position, sql.length());
    }

    private void readQuotedIdentifier() {
        hasContent = true;
        StringBuilder name = new StringBuilder();
        position++;
        while (position < sql.length()) {
            char c = sql.charAt(position);
            position++;
            if (c == '"') {
                if (position >= sql.length() || sql.charAt(position) != '"') {
                    break;
                }
                position++;
            }
            name.append(c);
        }
        words.add(name.toString().toLowerCase(Locale.ROOT));
    }

    private void skipDollarQuote() {
        hasContent = true;
        int tagEnd = position + 1;
        while (tagEnd < sql.length() && isTagChar(sql.charAt(tagEnd), tagEnd == position + 1)) {
            tagEnd++;
        }
        if (tagEnd >= sql.length() || sql.charAt(tagEnd) != '$') {
            position++;
            return;
        }
        String tag = sql.substring(position, tagEnd + 1);
        int close = sql.indexOf(tag, tagEnd + 1);
        position = close < 0 ? sql.length() : close + tag.length();
    }

    private static boolean isTagChar(char c, boolean first) {
        return c == '_' || Character.isLetter(c) || !first && Character.isDigit(c);
    }

    private void readWord() {
        hasContent = true;
        int start = position;
        while (position < sql.length() && Character.isJavaIdentifierPart(sql.charAt(position))) {
            position++;
        }
        String word = sql.substring(start, position).toLowerCase(Locale.ROOT);
        boolean stringFollows = position < sql.length() && sql.charAt(position) == '\'';
        if (word.equals("e") && stringFollows) {
            skipString(true);
        } else if (word.equals("u") && lookingAt("&\"")) {
            words.add(UNICODE_IDENTIFIER);
            position++;
            readQuotedIdentifier();
        } else {
            words.add(word);
        }
    }

    private void endStatement() {
        if (hasContent) {
            int end = Math.min(position, sql.length());
            statements.add(new ScannedStatement(sql.substring(statementStart, end).trim(), words));
        }
        words = new ArrayList<>();
        hasContent = false;
    }
}
