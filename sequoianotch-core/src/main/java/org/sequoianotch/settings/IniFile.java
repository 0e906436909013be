package org.sequoianotch.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Content of an INI file: sections with their keys and values, in the order of the file.
 *
 * <p>This type is immutable. A key that occurs more than once in a section is reported as a problem and not read
 * as a list.
 *
 * @param name the name of the file, for messages; not null
 * @param sections the sections by name; not null
 */
public record IniFile(String name, Map<String, Map<String, String>> sections) {
    /** Copies the sections. */
    public IniFile {
        sections = Collections.unmodifiableMap(new LinkedHashMap<>(sections));
    }

    /**
     * Reads a file.
     *
     * @param path the path; not null
     * @return the content on the right, or the problems that prevented reading the file on the left; never null
     */
    public static Either<List<SettingsProblem>, IniFile> read(Path path) {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            return Either.left(
                    List.of(new SettingsProblem(path.toString(), "", "", "", "the file cannot be read: " + e)));
        }
    }

    /**
     * Parses a text.
     *
     * @param name the name of the file, for messages; not null
     * @param text the text; not null
     * @return the content on the right, or the problems of the text on the left; never null
     */
    public static Either<List<SettingsProblem>, IniFile> parse(String name, String text) {
        IniParser parser = new IniParser(name);
        text.lines().forEach(parser::add);
        return parser.problems().isEmpty()
                ? Either.right(new IniFile(name, parser.sections()))
                : Either.left(parser.problems());
    }
}
