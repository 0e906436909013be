package org.sequoianotch.control.group;

import java.util.Objects;
import java.util.Optional;

/**
 * State of one member at one moment.
 *
 * <p>This type is immutable.
 *
 * @param memberId the identity of this member; not null
 * @param role its role; not null
 * @param term its term
 * @param leader the leader that it knows of; not null
 * @param commitIndex index of the last entry known to be committed
 * @param lastIndex index of its last entry
 * @param leaseMs how long this member may still answer as current, in milliseconds; zero unless it leads
 * @param inContact true if it holds the lease as leader, or heard from a leader within the election timeout
 * @param members the members that vote; not null
 * @param fault why the member takes no part, empty if it does; not null
 */
public record GroupStatus(
        String memberId,
        Role role,
        long term,
        Optional<Member> leader,
        long commitIndex,
        long lastIndex,
        long leaseMs,
        boolean inContact,
        MemberSet members,
        String fault) {
    /** Checks the components. */
    public GroupStatus {
        Objects.requireNonNull(memberId, "memberId");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(leader, "leader");
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(fault, "fault");
    }
}
