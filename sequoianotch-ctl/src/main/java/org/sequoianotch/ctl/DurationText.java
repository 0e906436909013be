package org.sequoianotch.ctl;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations as operators type them. This class is stateless. */
final class DurationText {
    private static final Pattern FORM = Pattern.compile("([0-9]{1,6})([smhd])");
    private static final long SECOND_MS = 1_000;

    private DurationText() {}

    static OptionalLong parseMs(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return OptionalLong.empty();
        }
        long unitMs =
                switch (matcher.group(2)) {
                    case "s" -> SECOND_MS;
                    case "m" -> 60 * SECOND_MS;
                    case "h" -> 3_600 * SECOND_MS;
                    default -> 86_400 * SECOND_MS;
                };
        return OptionalLong.of(Long.parseLong(matcher.group(1)) * unitMs);
    }
}
