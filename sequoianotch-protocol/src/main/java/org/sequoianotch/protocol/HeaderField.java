package org.sequoianotch.protocol;

import java.util.Objects;

/**
 * One HTTP header field carried with a call or an answer.
 *
 * <p>This type is immutable.
 *
 * @param name the field name; not null
 * @param value the field value; not null
 */
public record HeaderField(String name, String value) {
    /** Checks the components. */
    public HeaderField {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
