package org.sequoianotch.model;

import java.util.Locale;
import java.util.Optional;

/** How much a request matters under overload. The first constant is shed last. */
public enum Criticality {
    /** Bookings, fees and photo uploads: shed last. */
    CRITICAL,
    /** Lookups. */
    STANDARD,
    /** Gallery pages, and calls whose context is not known: shed first. */
    SHEDDABLE;

    /**
     * Finds a criticality by its code.
     *
     * @param code the code, such as {@code critical}; not null
     * @return the criticality, or empty if there is none of that code
     */
    public static Optional<Criticality> ofCode(String code) {
        for (Criticality criticality : values()) {
            if (criticality.code().equals(code)) {
                return Optional.of(criticality);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name used in templates, logs and metrics.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether this criticality is shed before another.
     *
     * @param other the other criticality; not null
     * @return true if requests of this criticality are refused while those of the other still run
     */
    public boolean isShedBefore(Criticality other) {
        return ordinal() > other.ordinal();
    }
}
