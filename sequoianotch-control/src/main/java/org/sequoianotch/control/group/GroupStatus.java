package org.sequoianotch.control.group;

import java.util.Objects;
import java.util.Optional;

/**
 * Status of one member at a point in time.
 *
 * <p>This type is immutable.
 *
 * @param memberId identity of this member; not null
 * @param role role of this member; not null
 * @param term current term of this member
 * @param leader the leader known to this member, or empty; not null
 * @param commitIndex index of the last entry known to be committed
 * @param lastIndex index of the last entry in the log of this member
 * @param leaseMs remaining time of the leader lease, in milliseconds; zero unless this member leads
 * @param inContact true if this member holds the lease as leader, or received a request from a leader within the
 *     election timeout
 * @param members the voting members; not null
 * @param fault why this member withdrew from the group, or empty if it did not; not null
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
