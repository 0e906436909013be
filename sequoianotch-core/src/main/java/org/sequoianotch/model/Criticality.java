package org.sequoianotch.model;

import java.util.Locale;
import java.util.Optional;

/** Importance of a request under overload. The first constant is shed last. */
public enum Criticality {
    /** Bookings, fees and photo uploads: shed last. */
    CRITICAL,
    /** Lookups: shed before critical requests. */
    STANDARD,
    /** Gallery pages, and calls whose context is not known: shed first. */
    SHEDDABLE;

    /**
     * Finds a criticality by its code.
     *
     * @param code the code, such as {@code critical}; not null
     * @return the criticality, or empty if no criticality has this code
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
     * Tells whether requests of this criticality are shed before those of another one.
     *
     * @param other the other criticality; not null
     * @return true if this criticality is less important than the other one
     */
    public boolean isShedBefore(Criticality other) {
        return ordinal() > other.ordinal();
    }
}
