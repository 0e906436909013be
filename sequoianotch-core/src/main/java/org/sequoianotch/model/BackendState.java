package org.sequoianotch.model;

import java.util.Locale;
import java.util.Optional;

/** State that a backend server announces for itself. */
public enum BackendState {
    /** Starting cold: takes a small, growing share. */
    STARTING(true),
    /** Serving. */
    SERVING(true),
    /** Leaving: takes no new work and finishes what is in flight. */
    DRAINING(false);

    private final boolean acceptsWork;

    BackendState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /**
     * Finds a state by its code.
     *
     * @param code the code, such as {@code serving}; not null
     * @return the state, or empty if there is none of that code
     */
    public static Optional<BackendState> ofCode(String code) {
        for (BackendState state : values()) {
            if (state.code().equals(code)) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name used in announcements.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether new calls may be sent.
     *
     * @return true unless the backend server is leaving
     */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
