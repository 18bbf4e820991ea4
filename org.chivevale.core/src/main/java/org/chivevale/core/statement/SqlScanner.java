package org.chivevale.core.statement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Splits SQL text into statements and words, leaving literals and comments out.
 *
 * <p>Understands PostgreSQL's lexical rules for strings, escape strings, dollar quotes, quoted
 * identifiers and nested comments; see "Lexical Structure" in the PostgreSQL documentation. It does
 * not judge the grammar. Not thread safe.
 */
public final class SqlScanner {
    private final String sql;
    private final List<ScannedStatement> statements = new ArrayList<>();
    private List<String> words = new ArrayList<>();
    private int statementStart;
    private boolean hasContent;
    private int at;

    /**
     * Creates a scanner.
     *
     * @param sql the text
     */
    public SqlScanner(String sql) {
        this.sql = sql;
    }

    /**
     * Scans the text.
     *
     * @return the statements that are not empty, in order
     */
    public List<ScannedStatement> call() {
        while (at < sql.length()) {
            step();
        }
        endStatement();
        return statements;
    }

    private void step() {
        char c = sql.charAt(at);
        if (c == ';') {
            endStatement();
            at++;
            statementStart = at;
        } else if (Character.isWhitespace(c)) {
            at++;
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
            at++;
        }
    }

    private boolean lookingAt(String text) {
        return sql.startsWith(text, at);
    }

    private boolean continuesWord() {
        return at > 0 && Character.isJavaIdentifierPart(sql.charAt(at - 1));
    }

    private void skipLine() {
        int end = sql.indexOf('\n', at);
        at = end < 0 ? sql.length() : end + 1;
    }

    private void skipComment() {
        int depth = 1;
        at += 2;
        while (at < sql.length() && depth > 0) {
            if (lookingAt("/*")) {
                depth++;
                at += 2;
            } else if (lookingAt("*/")) {
                depth--;
                at += 2;
            } else {
                at++;
            }
        }
    }

    private void skipString(boolean backslashEscapes) {
        hasContent = true;
        at++;
        while (at < sql.length()) {
            char c = sql.charAt(at);
            at++;
            if (c == '\\' && backslashEscapes) {
                at++;
            } else if (c == '\'') {
                if (at >= sql.length() || sql.charAt(at) != '\'') {
                    return;
                }
                at++;
            }
        }
        at = Math.min(at, sql.length());
    }

    private void readQuotedIdentifier() {
        hasContent = true;
        StringBuilder name = new StringBuilder();
        at++;
        while (at < sql.length()) {
            char c = sql.charAt(at);
            at++;
            if (c == '"') {
                if (at >= sql.length() || sql.charAt(at) != '"') {
                    break;
                }
                at++;
            }
            name.append(c);
        }
        words.add(name.toString().toLowerCase(Locale.ROOT));
    }

    private void skipDollarQuote() {
        hasContent = true;
        int tagEnd = at + 1;
        while (tagEnd < sql.length() && isTagChar(sql.charAt(tagEnd), tagEnd == at + 1)) {
            tagEnd++;
        }
        if (tagEnd >= sql.length() || sql.charAt(tagEnd) != '$') {
            at++;
            return;
        }
        String tag = sql.substring(at, tagEnd + 1);
        int close = sql.indexOf(tag, tagEnd + 1);
        at = close < 0 ? sql.length() : close + tag.length();
    }

    private static boolean isTagChar(char c, boolean first) {
        return c == '_' || Character.isLetter(c) || !first && Character.isDigit(c);
    }

    private void readWord() {
        hasContent = true;
        int start = at;
        while (at < sql.length() && Character.isJavaIdentifierPart(sql.charAt(at))) {
            at++;
        }
        String word = sql.substring(start, at).toLowerCase(Locale.ROOT);
        boolean stringFollows = at < sql.length() && sql.charAt(at) == '\'';
        if (word.equals("e") && stringFollows) {
            skipString(true);
        } else {
            words.add(word);
        }
    }

    private void endStatement() {
        if (hasContent) {
            int end = Math.min(at, sql.length());
            statements.add(new ScannedStatement(sql.substring(statementStart, end).trim(), words));
        }
        words = new ArrayList<>();
        hasContent = false;
    }
}
