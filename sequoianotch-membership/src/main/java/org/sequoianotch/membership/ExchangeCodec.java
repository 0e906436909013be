package org.sequoianotch.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;

/** Encodes the questions and answers of exchanges. */
final class ExchangeCodec {
    /** Members in one message; 200 with the longest names stay below the frame size limit of 256 KiB. */
    static final int MAX_MEMBERS = 200;

    /** Versions in one message; 3,000 with the longest names stay below the frame size limit of 256 KiB. */
    static final int MAX_VERSIONS = 3_000;

    private static final int MAX_DATA_CENTRES = 256;
    private static final int QUESTION_FIELDS = 5;
    private static final int ANSWER_FIELDS = 3;
    private static final int VERSION_FIELDS = 4;

    private ExchangeCodec() {}

    /**
     * Version of a member.
     *
     * @param host the host
     * @param incarnation its incarnation
     * @param change its change number
     * @param state its state
     */
    record Version(HostId host, long incarnation, long change, MemberState state) {
        static Version of(Member member) {
            return new Version(member.host(), member.incarnation(), member.change(), member.state());
        }

        boolean isNewsFor(Member member) {
            if (incarnation != member.incarnation()) {
                return incarnation > member.incarnation();
            }
            return change > member.change() || state.overrides(member.state());
        }
    }

    /**
     * A question: news to take over, hosts to report, and digests to compare.
     *
     * @param highestRevision highest revision that the asking node has heard of
     * @param compares false if the question only brings news or asks for hosts
     * @param digests digest of each data centre that the asking node knows
     * @param news encoded members
     * @param wanted hosts whose members the asking node wants
     */
    record Question(
            long highestRevision,
            boolean compares,
            SortedMap<DataCentre, Long> digests,
            List<byte[]> news,
            List<HostId> wanted) {}

    /**
     * An answer.
     *
     * @param highestRevision highest revision that the answering node has heard of
     * @param versions members of each data centre whose digest differs
     * @param members encoded members that the asking node wanted
     */
    record Answer(long highestRevision, SortedMap<DataCentre, List<Version>> versions, List<byte[]> members) {}

    /**
     * A decoded question.
     *
     * @param head the question without news
     * @param news the news
     */
    record ReceivedQuestion(Question head, List<Member> news) {}

    /**
     * A decoded answer.
     *
     * @param head the answer without members
     * @param members the members
     */
    record ReceivedAnswer(Answer head, List<Member> members) {}

    static byte[] encode(Question question) {
        try (MessageBufferPacker packer = MemberCodec.newPacker()) {
            packer.packArrayHeader(QUESTION_FIELDS);
            packer.packLong(question.highestRevision());
            packer.packBoolean(question.compares());
            packer.packMapHeader(question.digests().size());
            for (Map.Entry<DataCentre, Long> digest : question.digests().entrySet()) {
                packer.packString(digest.getKey().name());
                packer.packLong(digest.getValue());
            }
            MemberCodec.packAll(packer, question.news());
            packer.packArrayHeader(question.wanted().size());
            for (HostId host : question.wanted()) {
                packer.packString(host.name());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a question. */
    static ReceivedQuestion decodeQuestion(byte[] payload) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            MemberCodec.expectArray(in, QUESTION_FIELDS);
            long revision = in.unpackLong();
            boolean compares = in.unpackBoolean();
            int count = MemberCodec.checkedSize(in.unpackMapHeader(), MAX_DATA_CENTRES);
            SortedMap<DataCentre, Long> digests = new TreeMap<>();
            for (int i = 0; i < count; i++) {
                digests.put(DataCentre.of(in.unpackString()), in.unpackLong());
            }
            List<Member> news = MemberCodec.unpackAll(in, MAX_MEMBERS);
            int wantedCount = MemberCodec.checkedSize(in.unpackArrayHeader(), MAX_MEMBERS);
            List<HostId> wanted = new ArrayList<>(wantedCount);
            for (int i = 0; i < wantedCount; i++) {
                wanted.add(HostId.of(in.unpackString()));
            }
            return new ReceivedQuestion(new Question(revision, compares, digests, List.of(), wanted), news);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("The form of the question is wrong", e);
        }
    }

    static byte[] encode(Answer answer) {
        try (MessageBufferPacker packer = MemberCodec.newPacker()) {
            packer.packArrayHeader(ANSWER_FIELDS);
            packer.packLong(answer.highestRevision());
            packer.packMapHeader(answer.versions().size());
            for (Map.Entry<DataCentre, List<Version>> versions :
                    answer.versions().entrySet()) {
                packer.packString(versions.getKey().name());
                packer.packArrayHeader(versions.getValue().size());
                for (Version version : versions.getValue()) {
                    packer.packArrayHeader(VERSION_FIELDS);
                    packer.packString(version.host().name());
                    packer.packLong(version.incarnation());
                    packer.packLong(version.change());
                    packer.packInt(version.state().ordinal());
                }
            }
            MemberCodec.packAll(packer, answer.members());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static ReceivedAnswer decodeAnswer(byte[] payload) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            MemberCodec.expectArray(in, ANSWER_FIELDS);
            long revision = in.unpackLong();
            int count = MemberCodec.checkedSize(in.unpackMapHeader(), MAX_DATA_CENTRES);
            SortedMap<DataCentre, List<Version>> versions = new TreeMap<>();
            for (int i = 0; i < count; i++) {
                versions.put(DataCentre.of(in.unpackString()), unpackVersions(in));
            }
            List<Member> members = MemberCodec.unpackAll(in, MAX_MEMBERS);
            return new ReceivedAnswer(new Answer(revision, versions, List.of()), members);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("The form of the answer is wrong", e);
        }
    }

    private static List<Version> unpackVersions(MessageUnpacker in) throws IOException {
        int count = MemberCodec.checkedSize(in.unpackArrayHeader(), MAX_VERSIONS);
        List<Version> versions = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            MemberCodec.expectArray(in, VERSION_FIELDS);
            versions.add(new Version(
                    HostId.of(in.unpackString()),
                    in.unpackLong(),
                    in.unpackLong(),
                    MemberState.ofOrdinal(in.unpackInt())));
        }
        return versions;
    }
}
