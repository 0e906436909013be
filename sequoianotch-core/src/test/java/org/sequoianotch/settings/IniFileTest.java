package org.sequoianotch.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.StringReader;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against settings that are misread or dropped, and against files of other programs that are read otherwise. */
final class IniFileTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "key = value                      | value",
                "key=value                        | value",
                "  key   =   two  words           | two  words",
                "key = a=b=c                      | a=b=c",
                "key = value ; comment            | value",
                "key = value # comment            | value",
                "key = a#b;c                      | a#b;c",
                "key = \"quoted ; value\"          | quoted ; value",
                "key = 'it # stays' # comment     | it # stays",
                "key =                            | ``",
            })
    void valueIsReadWithoutCommentAndQuotes(String line, String value) {
        IniFile file = IniFile.parse("test", "[section]\n" + line + "\n").get();

        assertThat(file.sections()).containsExactly("section", Map.of("key", value));
    }

    @Test
    void sectionsKeepTheirOrderAndMayContinue() {
        IniFile file = IniFile.parse("test", "[b]\nx = 1\n; comment\n\n[a]\ny = 2\n[b]\nz = 3\n")
                .get();

        assertThat(file.sections().keySet()).containsExactly("b", "a").inOrder();
        assertThat(file.sections().get("b")).containsExactly("x", "1", "z", "3");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "no separator | line 2",
                "= value      | line 2",
                "[unclosed    | line 2",
                "k = 1^k = 2  | more than once",
            })
    void malformedLineIsAProblem(String lines, String message) {
        List<SettingsProblem> problems = IniFile.parse("test.ini", "[section]\n" + lines.replace("^", "\n"))
                .getLeft();

        assertThat(problems).hasSize(1);
        assertThat(problems.getFirst().toString()).contains(message);
    }

    @Provide
    Arbitrary<String> iniTexts() {
        Arbitrary<String> key = Arbitraries.strings()
                .withCharRange('a', 'z')
                .withChars('_')
                .ofMinLength(1)
                .ofMaxLength(6);
        Arbitrary<String> value = Arbitraries.strings()
                .withCharRange('a', 'z')
                .withChars("0123456789 .,:=/-{}_")
                .ofMaxLength(20);
        Arbitrary<String> line = Arbitraries.oneOf(
                Combinators.combine(key, value).as((k, v) -> k + " = " + v),
                key.map(section -> "[" + section + "]"),
                value.map(comment -> "; " + comment),
                value.map(comment -> "# " + comment),
                Arbitraries.just(""));
        return line.list().ofMaxSize(20).map(lines -> "[first]\n" + String.join("\n", lines) + "\n");
    }

    /** The library read the settings before, so that its reading of a file without special characters is kept. */
    @Property(seed = "20261205", tries = 500)
    void readsLikeTheLibrary(@ForAll("iniTexts") String text) throws IOException, ConfigurationException {
        Map<String, Map<String, List<String>>> expected = readByLibrary(text);
        boolean repeated = expected.values().stream()
                .anyMatch(keys -> keys.values().stream().anyMatch(values -> values.size() > 1));

        assertThat(IniFile.parse("test", text).isLeft()).isEqualTo(repeated);
        if (!repeated) {
            IniFile file = IniFile.parse("test", text).get();
            expected.forEach((section, keys) ->
                    keys.forEach((key, values) -> assertWithMessage("[%s] %s in:\n%s", section, key, text)
                            .that(file.sections().get(section).get(key))
                            .isEqualTo(values.getFirst())));
        }
    }

    private static Map<String, Map<String, List<String>>> readByLibrary(String text)
            throws IOException, ConfigurationException {
        INIConfiguration ini = new INIConfiguration();
        ini.setSeparatorUsedInInput("=");
        ini.read(new StringReader(text));
        Map<String, Map<String, List<String>>> sections = new LinkedHashMap<>();
        for (String section : ini.getSections()) {
            Map<String, List<String>> keys = new LinkedHashMap<>();
            SubnodeConfiguration content = ini.getSection(section);
            content.getKeys()
                    .forEachRemaining(key -> keys.put(
                            key,
                            content.getList(key).stream()
                                    .map(value -> String.valueOf(value).trim())
                                    .toList()));
            sections.put(section, keys);
        }
        return sections;
    }
}
