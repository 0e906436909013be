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

/** Encodes and decodes the requests and responses of exchanges between nodes as MessagePack. */
final class ExchangeCodec {
    /** Most members in one message; 200 with the longest names stay below the frame size limit of 256 KiB. */
    static final int MAX_MEMBERS = 200;

    /** Most versions in one message; 3,000 with the longest names stay below the frame size limit of 256 KiB. */
    static final int MAX_VERSIONS = 3_000;

    private static final int MAX_DATA_CENTRES = 256;
    private static final int REQUEST_FIELDS = 5;
    private static final int RESPONSE_FIELDS = 3;
    private static final int VERSION_FIELDS = 4;

    private ExchangeCodec() {}

    /**
     * Version of a member, without the member's data.
     *
     * @param host the host
     * @param incarnation its incarnation
     * @param changeNumber its change number
     * @param state its state
     */
    record Version(HostId host, long incarnation, long changeNumber, MemberState state) {
        static Version of(Member member) {
            return new Version(member.host(), member.incarnation(), member.changeNumber(), member.state());
        }

        boolean hasUpdateFor(Member member) {
            if (incarnation != member.incarnation()) {
                return incarnation > member.incarnation();
            }
            return changeNumber > member.changeNumber() || state.overrides(member.state());
        }
    }

    /**
     * A request: updates to merge, hosts whose members to return, and digests to compare.
     *
     * @param highestRevision highest configuration revision known to the requesting node
     * @param comparesDigests false if the request only carries updates or requests hosts
     * @param digests digest of each data centre that the requesting node knows
     * @param updates encoded members
     * @param requestedHosts hosts whose members the response must contain
     */
    record Request(
            long highestRevision,
            boolean comparesDigests,
            SortedMap<DataCentre, Long> digests,
            List<byte[]> updates,
            List<HostId> requestedHosts) {}

    /**
     * A response.
     *
     * @param highestRevision highest configuration revision known to the responding node
     * @param versions versions of the members of each data centre whose digest differs
     * @param members encoded members of the requested hosts
     */
    record Response(long highestRevision, SortedMap<DataCentre, List<Version>> versions, List<byte[]> members) {}

    /**
     * A decoded request.
     *
     * @param header the request without updates
     * @param updates the decoded updates
     */
    record DecodedRequest(Request header, List<Member> updates) {}

    /**
     * A decoded response.
     *
     * @param header the response without members
     * @param members the decoded members
     */
    record DecodedResponse(Response header, List<Member> members) {}

    static byte[] encode(Request request) {
        try (MessageBufferPacker packer = MemberCodec.newPacker()) {
            packer.packArrayHeader(REQUEST_FIELDS);
            packer.packLong(request.highestRevision());
            packer.packBoolean(request.comparesDigests());
            packer.packMapHeader(request.digests().size());
            for (Map.Entry<DataCentre, Long> digest : request.digests().entrySet()) {
                packer.packString(digest.getKey().name());
                packer.packLong(digest.getValue());
            }
            MemberCodec.packMembers(packer, request.updates());
            packer.packArrayHeader(request.requestedHosts().size());
            for (HostId host : request.requestedHosts()) {
                packer.packString(host.name());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static DecodedRequest decodeRequest(byte[] payload) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            MemberCodec.expectArrayHeader(in, REQUEST_FIELDS);
            long revision = in.unpackLong();
            boolean comparesDigests = in.unpackBoolean();
            int count = MemberCodec.checkedSize(in.unpackMapHeader(), MAX_DATA_CENTRES);
            SortedMap<DataCentre, Long> digests = new TreeMap<>();
            for (int i = 0; i < count; i++) {
                digests.put(DataCentre.of(in.unpackString()), in.unpackLong());
            }
            List<Member> updates = MemberCodec.unpackMembers(in, MAX_MEMBERS);
            int requestedCount = MemberCodec.checkedSize(in.unpackArrayHeader(), MAX_MEMBERS);
            List<HostId> requestedHosts = new ArrayList<>(requestedCount);
            for (int i = 0; i < requestedCount; i++) {
                requestedHosts.add(HostId.of(in.unpackString()));
            }
            return new DecodedRequest(
                    new Request(revision, comparesDigests, digests, List.of(), requestedHosts), updates);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("invalid MessagePack in a payload of " + payload.length + " bytes", e);
        }
    }

    static byte[] encode(Response response) {
        try (MessageBufferPacker packer = MemberCodec.newPacker()) {
            packer.packArrayHeader(RESPONSE_FIELDS);
            packer.packLong(response.highestRevision());
            packer.packMapHeader(response.versions().size());
            for (Map.Entry<DataCentre, List<Version>> versions :
                    response.versions().entrySet()) {
                packer.packString(versions.getKey().name());
                packer.packArrayHeader(versions.getValue().size());
                for (Version version : versions.getValue()) {
                    packer.packArrayHeader(VERSION_FIELDS);
                    packer.packString(version.host().name());
                    packer.packLong(version.incarnation());
                    packer.packLong(version.changeNumber());
                    packer.packInt(version.state().ordinal());
                }
            }
            MemberCodec.packMembers(packer, response.members());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static DecodedResponse decodeResponse(byte[] payload) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            MemberCodec.expectArrayHeader(in, RESPONSE_FIELDS);
            long revision = in.unpackLong();
            int count = MemberCodec.checkedSize(in.unpackMapHeader(), MAX_DATA_CENTRES);
            SortedMap<DataCentre, List<Version>> versions = new TreeMap<>();
            for (int i = 0; i < count; i++) {
                versions.put(DataCentre.of(in.unpackString()), unpackVersions(in));
            }
            List<Member> members = MemberCodec.unpackMembers(in, MAX_MEMBERS);
            return new DecodedResponse(new Response(revision, versions, List.of()), members);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("invalid MessagePack in a payload of " + payload.length + " bytes", e);
        }
    }

    private static List<Version> unpackVersions(MessageUnpacker in) throws IOException {
        int count = MemberCodec.checkedSize(in.unpackArrayHeader(), MAX_VERSIONS);
        List<Version> versions = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            MemberCodec.expectArrayHeader(in, VERSION_FIELDS);
            versions.add(new Version(
                    HostId.of(in.unpackString()),
                    in.unpackLong(),
                    in.unpackLong(),
                    MemberState.ofOrdinal(in.unpackInt())));
        }
        return versions;
    }
}
