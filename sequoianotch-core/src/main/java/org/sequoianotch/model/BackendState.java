package org.sequoianotch.model;

import java.util.Locale;
import java.util.Optional;

/** Lifecycle state that a backend server announces for itself. */
public enum BackendState {
    /** Cold start: receives a small, growing share of the calls. */
    STARTING(true),
    /** Receives its full share of the calls. */
    SERVING(true),
    /** Leaving: accepts no new calls and completes those in flight. */
    DRAINING(false);

    private final boolean acceptsWork;

    BackendState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /**
     * Finds a state by its code.
     *
     * @param code the code, such as {@code serving}; not null
     * @return the state, or empty if no state has this code
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
     * Tells whether new calls may be sent to the backend server.
     *
     * @return true unless the backend server is draining
     */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
