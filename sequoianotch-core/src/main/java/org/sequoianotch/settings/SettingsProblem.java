package org.sequoianotch.settings;

import java.util.Objects;

/**
 * An error in an INI file.
 *
 * <p>This type is immutable.
 *
 * @param file name of the file, as given to the reader; not null
 * @param section the section; not null, may be empty
 * @param key the key; not null, empty if the problem is not about one key
 * @param value the value found; not null, may be empty
 * @param message what is wrong or which values are allowed, without a final full stop; not null
 */
public record SettingsProblem(String file, String section, String key, String value, String message) {
    /** Checks that no component is null. */
    public SettingsProblem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        return file + ": [" + section + "] " + key + " = \"" + value + "\": " + message;
    }
}
