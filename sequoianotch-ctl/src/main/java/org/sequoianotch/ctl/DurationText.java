package org.sequoianotch.ctl;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations of the command line, such as {@code 30m}. This class is stateless. */
final class DurationText {
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,6})([smhd])");
    private static final long MS_PER_SECOND = 1_000;

    private DurationText() {}

    static OptionalLong parseMs(String text) {
        Matcher matcher = DURATION_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return OptionalLong.empty();
        }
        long unitMs =
                switch (matcher.group(2)) {
                    case "s" -> MS_PER_SECOND;
                    case "m" -> 60 * MS_PER_SECOND;
                    case "h" -> 3_600 * MS_PER_SECOND;
                    default -> 86_400 * MS_PER_SECOND;
                };
        return OptionalLong.of(Long.parseLong(matcher.group(1)) * unitMs);
    }
}
