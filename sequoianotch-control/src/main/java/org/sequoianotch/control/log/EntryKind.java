package org.sequoianotch.control.log;

/** Kind of a log entry. The ordinal is stored on disk and sent to peers, so new constants go to the end. */
public enum EntryKind {
    /** Appended by a new leader, so that entries of earlier terms can be committed. */
    NO_OP,
    /** A change of the templates. */
    CHANGE,
    /** The voting members of the group. */
    MEMBERS,
    /** The departure of an instance. */
    DEPARTURE;

    /**
     * Returns whether an entry of this kind is applied to the replicated state.
     *
     * @return false if it only concerns the group itself
     */
    public boolean isApplied() {
        return this == CHANGE || this == DEPARTURE;
    }

    /**
     * Returns the kind with an ordinal.
     *
     * @param ordinal the ordinal
     * @return the kind, never null
     * @throws IllegalArgumentException if no kind has this ordinal
     */
    public static EntryKind of(long ordinal) {
        if (ordinal < 0 || ordinal >= values().length) {
            throw new IllegalArgumentException(
                    "unknown log entry kind " + ordinal + "; expected 0 to " + (values().length - 1));
        }
        return values()[(int) ordinal];
    }
}
