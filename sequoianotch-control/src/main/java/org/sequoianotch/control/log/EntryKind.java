package org.sequoianotch.control.log;

/** Kind of a log entry. The ordinal is the value on disk and on the wire, so constants are only added at the end. */
public enum EntryKind {
    /** Written by a new leader, so that entries of earlier terms can be committed. */
    NO_OP,
    /** A change of the templates. */
    CHANGE,
    /** The members of the group. */
    MEMBERS;

    /**
     * Finds a kind by its ordinal.
     *
     * @param ordinal the ordinal
     * @return the kind, never null
     * @throws IllegalArgumentException if there is none
     */
    public static EntryKind of(long ordinal) {
        if (ordinal < 0 || ordinal >= values().length) {
            throw new IllegalArgumentException("there is no kind of log entry with the number " + ordinal);
        }
        return values()[(int) ordinal];
    }
}
