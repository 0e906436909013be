package org.sequoianotch.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the lines of an INI file.
 *
 * <p>Each start of a process reads its settings. The INI reader of a library takes 0.1 s of processor time there, a
 * sixth of the start, mostly to load classes for features that settings do not use.
 *
 * <p>This class is not thread-safe.
 */
final class IniParser {
    private static final String COMMENT_CHARS = "#;";
    private static final String QUOTES = "\"'";

    private final String name;
    private final Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    private final List<SettingsProblem> problems = new ArrayList<>();
    private String section = "";
    private int lineNumber;

    /** Creates a parser; {@code name} is the name of the file, for messages. */
    IniParser(String name) {
        this.name = name;
    }

    Map<String, Map<String, String>> sections() {
        return sections;
    }

    List<SettingsProblem> problems() {
        return problems;
    }

    void add(String line) {
        lineNumber++;
        String content = line.strip();
        if (content.isEmpty() || isCommentChar(content.charAt(0))) {
            return;
        }
        if (content.startsWith("[") && content.endsWith("]")) {
            section = content.substring(1, content.length() - 1).strip();
            sections.computeIfAbsent(section, key -> new LinkedHashMap<>());
            return;
        }
        int separator = content.indexOf('=');
        if (separator <= 0) {
            addProblem("", "line " + lineNumber + " is neither a section, nor a comment, nor key = value");
            return;
        }
        addValue(content.substring(0, separator).strip(), content.substring(separator + 1));
    }

    private void addValue(String key, String text) {
        Map<String, String> values = sections.computeIfAbsent(section, absent -> new LinkedHashMap<>());
        if (values.putIfAbsent(key, value(text)) != null) {
            addProblem(key, "the key is given more than once");
        }
    }

    private void addProblem(String key, String message) {
        problems.add(new SettingsProblem(name, section, key, "", message));
    }

    /** Returns the value without a comment at its end, and without quotes around it. */
    private static String value(String text) {
        String value = text.strip();
        if (!value.isEmpty() && QUOTES.indexOf(value.charAt(0)) >= 0) {
            int end = value.indexOf(value.charAt(0), 1);
            if (end > 0) {
                return value.substring(1, end);
            }
        }
        for (int i = 0; i < value.length(); i++) {
            if (isCommentChar(value.charAt(i)) && (i == 0 || Character.isWhitespace(value.charAt(i - 1)))) {
                return value.substring(0, i).strip();
            }
        }
        return value;
    }

    private static boolean isCommentChar(char character) {
        return COMMENT_CHARS.indexOf(character) >= 0;
    }
}
