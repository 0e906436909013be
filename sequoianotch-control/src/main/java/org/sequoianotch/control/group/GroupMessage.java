package org.sequoianotch.control.group;

import java.util.ArrayList;
import java.util.List;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.log.LogEntry;

/**
 * A message of the Raft protocol between two members.
 *
 * <p>All messages are immutable; byte arrays are not copied.
 */
public sealed interface GroupMessage {
    /** A request to one member. */
    sealed interface Request extends GroupMessage {
        /**
         * Returns the group of the sender.
         *
         * @return the group id, never null
         */
        String groupId();

        /**
         * Returns the term of the sender; for a pre-vote, the term that it would start.
         *
         * @return the term
         */
        long term();
    }

    /** A reply to a {@link Request}. */
    sealed interface Reply extends GroupMessage {
        /**
         * Returns the term of the replying member.
         *
         * @return the term
         */
        long term();
    }

    /**
     * Requests a vote, or a pre-vote, which changes no state.
     *
     * @param groupId the group; not null
     * @param term the term of the election
     * @param candidateId the member that requests the vote; not null
     * @param lastIndex index of the candidate's last entry
     * @param lastTerm term of the candidate's last entry
     * @param preVote true for a pre-vote
     */
    record VoteRequest(String groupId, long term, String candidateId, long lastIndex, long lastTerm, boolean preVote)
            implements Request {}

    /**
     * Replicates log entries; without entries it is a heartbeat.
     *
     * @param groupId the group; not null
     * @param term the term of the leader
     * @param leader the leader; not null
     * @param previousIndex index of the entry that precedes {@code entries}
     * @param previousTerm term of the entry at {@code previousIndex}
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
     * Transfers one chunk of a snapshot.
     *
     * @param groupId the group; not null
     * @param term the term of the leader
     * @param leader the leader; not null
     * @param lastIndex index of the last entry that the snapshot includes
     * @param offsetBytes offset of the chunk in the snapshot, in bytes
     * @param chunk the bytes of the chunk; not null
     * @param last true for the last chunk
     */
    record SnapshotRequest(
            String groupId, long term, Member leader, long lastIndex, long offsetBytes, byte[] chunk, boolean last)
            implements Request {}

    /**
     * Replies to a vote request.
     *
     * @param term the term
     * @param granted true if the vote is granted
     */
    record VoteReply(long term, boolean granted) implements Reply {}

    /**
     * Replies to an append request.
     *
     * @param term the term
     * @param success true if the entries were appended to the member's log
     * @param index the last index known to match the leader's log; without success, the last index that may match
     */
    record AppendReply(long term, boolean success, long index) implements Reply {}

    /**
     * Replies to a snapshot chunk.
     *
     * @param term the term
     * @param nextOffsetBytes offset of the chunk that the member expects next, in bytes
     * @param installed true if the member has every entry that the snapshot includes
     */
    record SnapshotReply(long term, long nextOffsetBytes, boolean installed) implements Reply {}

    /**
     * Declines a request that was addressed to another member or group, or that came after the data folder failed. It
     * counts neither as a vote nor as an acknowledgement.
     *
     * @param reason the reason, for the log; not null
     */
    record Declined(String reason) implements Reply {
        @Override
        public long term() {
            return 0;
        }
    }

    /**
     * Encodes this message.
     *
     * @param encoder the encoder to write to; not null
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
                encoder.number(m.lastIndex).number(m.offsetBytes).bytes(m.chunk).flag(m.last);
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
     * Decodes a message.
     *
     * @param decoder the decoder to read from; not null
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
            default -> throw new IllegalArgumentException("unknown group message type " + type + "; expected 0 to 6");
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
