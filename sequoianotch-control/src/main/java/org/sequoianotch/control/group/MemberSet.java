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
 * The voting members of a control group.
 *
 * <p>This type is immutable.
 *
 * @param groupId random identity of the group, or empty before the group is formed; not null
 * @param members the members, ordered by identity; not null
 */
public record MemberSet(String groupId, List<Member> members) {
    /** The members before a group is formed. */
    public static final MemberSet EMPTY = new MemberSet("", List.of());

    /** Checks the components and sorts the members. */
    public MemberSet {
        Objects.requireNonNull(groupId, "groupId");
        members = members.stream().sorted(Comparator.comparing(Member::id)).toList();
    }

    /**
     * Finds a member.
     *
     * @param memberId identity of the member; not null
     * @return the member, or empty if it has no vote in this group
     */
    public Optional<Member> member(String memberId) {
        return members.stream().filter(member -> member.id().equals(memberId)).findFirst();
    }

    /**
     * Finds the member that runs on a host.
     *
     * @param host the host; not null
     * @return the member, or empty if no member runs on the host
     */
    public Optional<Member> memberOf(HostId host) {
        return members.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    /**
     * Returns the number of members that form a majority.
     *
     * @return the number, at least one
     */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /**
     * Returns a copy with an additional member.
     *
     * @param added the member to add; not null
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
