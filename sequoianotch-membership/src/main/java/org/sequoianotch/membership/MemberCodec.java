package org.sequoianotch.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.Region;
import org.sequoianotch.model.ServiceName;

/** Encodes and decodes members as MessagePack arrays. */
final class MemberCodec {
    /** Most instances of a host, which has one backend server; eight with the longest names still fit one datagram. */
    static final int MAX_INSTANCES = 8;

    private static final int MEMBER_FIELDS = 10;
    private static final int INSTANCE_FIELDS = 4;
    private static final MessagePack.PackerConfig PACKER = new MessagePack.PackerConfig().withBufferSize(2_048);

    private MemberCodec() {}

    static MessageBufferPacker newPacker() {
        return PACKER.newBufferPacker();
    }

    static byte[] encode(Member member) {
        try (MessageBufferPacker packer = newPacker()) {
            packer.packArrayHeader(MEMBER_FIELDS);
            packer.packString(member.host().name());
            packer.packString(member.dataCentre().name());
            packer.packString(member.region().name());
            packer.packString(member.peerAddress());
            packer.packLong(member.incarnation());
            packer.packLong(member.changeNumber());
            packer.packInt(member.state().ordinal());
            packer.packLong(member.stateSinceMs());
            packer.packLong(member.configurationRevision());
            packer.packArrayHeader(member.instances().size());
            for (Instance instance : member.instances()) {
                packer.packArrayHeader(INSTANCE_FIELDS);
                packer.packString(instance.service().name());
                packer.packInt(instance.slots());
                packer.packInt(instance.state().ordinal());
                packer.packLong(instance.startedAtMs());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Member decode(MessageUnpacker in) throws IOException {
        expectArrayHeader(in, MEMBER_FIELDS);
        HostId host = HostId.of(in.unpackString());
        DataCentre dataCentre = DataCentre.of(in.unpackString());
        Region region = Region.of(in.unpackString());
        String peerAddress = in.unpackString();
        long incarnation = in.unpackLong();
        long changeNumber = in.unpackLong();
        MemberState state = MemberState.ofOrdinal(in.unpackInt());
        long sinceMs = in.unpackLong();
        long revision = in.unpackLong();
        int count = checkedSize(in.unpackArrayHeader(), MAX_INSTANCES);
        List<Instance> instances = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            expectArrayHeader(in, INSTANCE_FIELDS);
            instances.add(new Instance(
                    ServiceName.of(in.unpackString()),
                    host,
                    dataCentre,
                    region,
                    peerAddress,
                    in.unpackInt(),
                    backendState(in.unpackInt()),
                    in.unpackLong()));
        }
        return new Member(
                host, dataCentre, region, peerAddress, incarnation, changeNumber, state, sinceMs, instances, revision);
    }

    static void packMembers(MessageBufferPacker packer, List<byte[]> records) throws IOException {
        packer.packArrayHeader(records.size());
        for (byte[] encoded : records) {
            packer.addPayload(encoded);
        }
    }

    static List<Member> unpackMembers(MessageUnpacker in, int maxCount) throws IOException {
        int count = checkedSize(in.unpackArrayHeader(), maxCount);
        List<Member> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(decode(in));
        }
        return members;
    }

    static void expectArrayHeader(MessageUnpacker in, int size) throws IOException {
        int actual = in.unpackArrayHeader();
        if (actual != size) {
            throw new IllegalArgumentException("An array has " + actual + " elements, but must have " + size);
        }
    }

    static int checkedSize(int size, int max) {
        if (size > max) {
            throw new IllegalArgumentException("A list has " + size + " elements, but may have at most " + max);
        }
        return size;
    }

    private static BackendState backendState(int ordinal) {
        BackendState[] states = BackendState.values();
        if (ordinal < 0 || ordinal >= states.length) {
            throw new IllegalArgumentException(
                    "Unknown backend state " + ordinal + "; expected 0 to " + (states.length - 1));
        }
        return states[ordinal];
    }
}
