package org.sequoianotch.membership;

/**
 * State of a member as the group sees it.
 *
 * <p>The order of the constants is the order of precedence: of two states of the same incarnation, the later one wins.
 * The ordinal is the wire value.
 */
public enum MemberState {
    /** Replies to probes. */
    ALIVE(true),
    /** Did not reply to a probe, and may still refute the suspicion. */
    SUSPECT(true),
    /** Did not refute the suspicion in time. */
    FAILED(false),
    /** Announced that it leaves. */
    LEFT(false);

    private static final MemberState[] BY_ORDINAL = values();

    private final boolean reachable;

    MemberState(boolean reachable) {
        this.reachable = reachable;
    }

    /**
     * Returns whether calls may be sent to the member. A suspected member still receives calls, because one lost
     * datagram must not take a healthy host out of service.
     *
     * @return true for a member that is alive or suspected
     */
    public boolean isReachable() {
        return reachable;
    }

    /**
     * Returns whether this state replaces another one of the same incarnation.
     *
     * @param other the other state; not null
     * @return true if this state has precedence
     */
    public boolean overrides(MemberState other) {
        return ordinal() > other.ordinal();
    }

    static MemberState ofOrdinal(int ordinal) {
        if (ordinal < 0 || ordinal >= BY_ORDINAL.length) {
            throw new IllegalArgumentException(
                    "Unknown member state " + ordinal + "; expected 0 to " + (BY_ORDINAL.length - 1));
        }
        return BY_ORDINAL[ordinal];
    }
}
