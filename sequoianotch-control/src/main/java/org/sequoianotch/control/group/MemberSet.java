package org.sequoianotch.control.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.model.HostId;

/**
 * The members of a control group that vote.
 *
 * <p>This type is immutable.
 *
 * @param groupId random identity of the group, empty before the group is formed; not null
 * @param members the members, ordered by identity; not null
 */
public record MemberSet(String groupId, List<Member> members) {
    /** No group. */
    public static final MemberSet EMPTY = new MemberSet("", List.of());

    /** Checks the group and orders the members. */
    public MemberSet {
        Objects.requireNonNull(groupId, "groupId");
        members = members.stream().sorted(Comparator.comparing(Member::id)).toList();
    }

    /**
     * Finds a member.
     *
     * @param memberId the identity; not null
     * @return the member, or empty if it does not vote in this group
     */
    public Optional<Member> member(String memberId) {
        return members.stream().filter(member -> member.id().equals(memberId)).findFirst();
    }

    /**
     * Finds the member of a host.
     *
     * @param host the host; not null
     * @return the member, or empty if the host has none
     */
    public Optional<Member> memberOf(HostId host) {
        return members.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    /**
     * Returns the smallest number of members that is a majority.
     *
     * @return the number, at least one
     */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /**
     * Returns a copy with one more member.
     *
     * @param added the member; not null
     * @return the copy, never null
     */
    public MemberSet plus(Member added) {
        List<Member> copy = new ArrayList<>(members);
        copy.add(added);
        return new MemberSet(groupId, copy);
    }

    MemberSet minus(String memberId) {
        return new MemberSet(
                groupId,
                members.stream().filter(member -> !member.id().equals(memberId)).toList());
    }

    byte[] toBytes() {
        Encoder encoder = new Encoder().text(groupId).number(members.size());
        members.forEach(member -> member.encode(encoder));
        return encoder.toBytes();
    }

    static MemberSet of(byte[] bytes) {
        if (bytes.length == 0) {
            return EMPTY;
        }
        Decoder decoder = new Decoder(bytes);
        String groupId = decoder.text();
        int count = decoder.count();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(Member.decode(decoder));
        }
        return new MemberSet(groupId, members);
    }
}
