package org.sequoianotch.control.group;

/** Role of a member in its current term. */
public enum Role {
    /** Follows a leader, or waits for one. */
    FOLLOWER,
    /** Asks whether an election could be won, without a new term. */
    PRE_CANDIDATE,
    /** Stands for election. */
    CANDIDATE,
    /** Leads the group. */
    LEADER
}
