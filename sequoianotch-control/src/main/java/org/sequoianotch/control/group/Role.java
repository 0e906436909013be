package org.sequoianotch.control.group;

/** Role of a member in its current term. */
public enum Role {
    /** Follows a leader, or waits for one. */
    FOLLOWER,
    /** Requests pre-votes to find out whether it could win an election, without starting a new term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Leads the group. */
    LEADER
}
