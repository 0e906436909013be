package org.sequoianotch.control.group;

import java.util.ArrayList;
import java.util.List;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.log.LogEntry;

/**
 * A message between members, as published for Raft, with the identity of the member that it is meant for.
 *
 * <p>All messages are immutable; byte arrays are not copied.
 */
public sealed interface GroupMessage {
    /** A question to one member. */
    sealed interface Request extends GroupMessage {
        /**
         * Returns the group of the asking member.
         *
         * @return the identity, never null
         */
        String groupId();

        /**
         * Returns the term of the asking member; for a pre-vote the term that it would start.
         *
         * @return the term
         */
        long term();
    }

    /** An answer. */
    sealed interface Reply extends GroupMessage {
        /**
         * Returns the term of the answering member.
         *
         * @return the term
         */
        long term();
    }

    /**
     * Asks for a vote, or for a pre-vote that changes nothing.
     *
     * @param groupId the group; not null
     * @param term the term of the election
     * @param candidateId who asks; not null
     * @param lastIndex index of the candidate's last entry
     * @param lastTerm term of the candidate's last entry
     * @param preVote true for a pre-vote
     */
    record VoteRequest(String groupId, long term, String candidateId, long lastIndex, long lastTerm, boolean preVote)
            implements Request {}

    /**
     * Sends entries, or none as a heartbeat.
     *
     * @param groupId the group; not null
     * @param term the term of the leader
     * @param leader the leader; not null
     * @param previousIndex index of the entry before the first one sent
     * @param previousTerm term of this entry
     * @param commitIndex the leader's commit index
     * @param entries the entries; not null
     */
    record AppendRequest(
            String groupId,
            long term,
            Member leader,
            long previousIndex,
            long previousTerm,
            long commitIndex,
            List<LogEntry> entries)
            implements Request {}

    /**
     * Sends a part of a snapshot.
     *
     * @param groupId the group; not null
     * @param term the term of the leader
     * @param leader the leader; not null
     * @param lastIndex index of the last entry that the snapshot includes
     * @param offsetBytes position of the part
     * @param part the bytes; not null
     * @param last true for the last part
     */
    record SnapshotRequest(
            String groupId, long term, Member leader, long lastIndex, long offsetBytes, byte[] part, boolean last)
            implements Request {}

    /**
     * Answers a vote request.
     *
     * @param term the term
     * @param granted true if the vote is given
     */
    record VoteReply(long term, boolean granted) implements Reply {}

    /**
     * Answers an append request.
     *
     * @param term the term
     * @param success true if the entries follow the member's log
     * @param index the last index known to match; without success the last index that may match
     */
    record AppendReply(long term, boolean success, long index) implements Reply {}

    /**
     * Answers a part of a snapshot.
     *
     * @param term the term
     * @param nextOffsetBytes position of the part that the member needs next
     * @param installed true if the member has everything that the snapshot includes
     */
    record SnapshotReply(long term, long nextOffsetBytes, boolean installed) implements Reply {}

    /**
     * Says that the question was not for this member, or that its data folder failed. It carries no promise.
     *
     * @param reason a plain sentence; not null
     */
    record Declined(String reason) implements Reply {
        @Override
        public long term() {
            return 0;
        }
    }

    /**
     * Writes a message.
     *
     * @param encoder where to write; not null
     */
    default void encode(Encoder encoder) {
        switch (this) {
            case VoteRequest m -> encoder.number(0)
                    .text(m.groupId)
                    .number(m.term)
                    .text(m.candidateId)
                    .number(m.lastIndex)
                    .number(m.lastTerm)
                    .flag(m.preVote);
            case AppendRequest m -> {
                encoder.number(1).text(m.groupId).number(m.term);
                m.leader.encode(encoder);
                encoder.number(m.previousIndex)
                        .number(m.previousTerm)
                        .number(m.commitIndex)
                        .number(m.entries.size());
                m.entries.forEach(entry -> entry.encode(encoder));
            }
            case SnapshotRequest m -> {
                encoder.number(2).text(m.groupId).number(m.term);
                m.leader.encode(encoder);
                encoder.number(m.lastIndex).number(m.offsetBytes).bytes(m.part).flag(m.last);
            }
            case VoteReply m -> encoder.number(3).number(m.term).flag(m.granted);
            case AppendReply m -> encoder.number(4)
                    .number(m.term)
                    .flag(m.success)
                    .number(m.index);
            case SnapshotReply m -> encoder.number(5)
                    .number(m.term)
                    .number(m.nextOffsetBytes)
                    .flag(m.installed);
            case Declined m -> encoder.number(6).text(m.reason);
        }
    }

    /**
     * Reads a message.
     *
     * @param decoder where to read; not null
     * @return the message, never null
     * @throws IllegalArgumentException if the message is malformed
     */
    static GroupMessage decode(Decoder decoder) {
        long type = decoder.number();
        return switch ((int) type) {
            case 0 -> new VoteRequest(
                    decoder.text(),
                    decoder.number(),
                    decoder.text(),
                    decoder.number(),
                    decoder.number(),
                    decoder.flag());
            case 1 -> new AppendRequest(
                    decoder.text(),
                    decoder.number(),
                    Member.decode(decoder),
                    decoder.number(),
                    decoder.number(),
                    decoder.number(),
                    entries(decoder));
            case 2 -> new SnapshotRequest(
                    decoder.text(),
                    decoder.number(),
                    Member.decode(decoder),
                    decoder.number(),
                    decoder.number(),
                    decoder.bytes(),
                    decoder.flag());
            case 3 -> new VoteReply(decoder.number(), decoder.flag());
            case 4 -> new AppendReply(decoder.number(), decoder.flag(), decoder.number());
            case 5 -> new SnapshotReply(decoder.number(), decoder.number(), decoder.flag());
            case 6 -> new Declined(decoder.text());
            default -> throw new IllegalArgumentException("there is no group message of type " + type);
        };
    }

    private static List<LogEntry> entries(Decoder decoder) {
        int count = decoder.count();
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(LogEntry.decode(decoder));
        }
        return List.copyOf(entries);
    }
}
