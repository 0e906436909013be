package org.sequoianotch.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.group.GroupMessage;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.log.LogEntry;
import org.sequoianotch.control.state.SampleTemplates;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.model.HostId;

/**
 * Guards against messages of another writer that end a task of the control group or of a follower: a corrupt message
 * must be reported by the documented exception, whichever of its bytes differ.
 */
final class MalformedMessageTest {
    private static final HostId HOST = HostId.of("control-1");
    private static final LogEntry ENTRY = new LogEntry(5, 2, EntryKind.values()[0], new byte[] {1, 2, 3});

    @Provide
    Arbitrary<byte[]> requests() {
        Member leader = new Member("id-1", HOST, "127.0.0.1:7000");
        return Arbitraries.of(
                new ControlRequest.RaftRequest("id-2", new GroupMessage.VoteRequest("g", 2, "id-1", 4, 1, true))
                        .toBytes(),
                new ControlRequest.RaftRequest(
                                "id-2", new GroupMessage.AppendRequest("g", 2, leader, 4, 1, 3, List.of(ENTRY, ENTRY)))
                        .toBytes(),
                new ControlRequest.RaftRequest(
                                "id-2", new GroupMessage.SnapshotRequest("g", 2, leader, 4, 0, new byte[40], true))
                        .toBytes(),
                new ControlRequest.Join("id-3", HOST, "127.0.0.1:7001").toBytes(),
                new ControlRequest.Change(true, SampleTemplates.change("c1", "ana", 1_000, 0)).toBytes(),
                new ControlRequest.Fetch(7, 100).toBytes(),
                new ControlRequest.RemoveMember(HOST).toBytes());
    }

    @Property(tries = 10_000, seed = "20261205")
    void corruptRequestIsDecodedOrReported(
            @ForAll("requests") byte[] request, @ForAll int position, @ForAll byte first, @ForAll byte second) {
        decodeOrReport(() -> ControlRequest.of(corrupt(request, position, first, second)));
    }

    @Property(tries = 3_000, seed = "20261205")
    void corruptReplyIsDecodedOrReported(@ForAll int position, @ForAll byte first, @ForAll byte second) {
        Encoder encoder = new Encoder();
        new GroupMessage.AppendReply(3, true, 9).encode(encoder);
        byte[] reply = encoder.toBytes();
        decodeOrReport(() -> GroupMessage.decode(new Decoder(corrupt(reply, position, first, second))));
        byte[] hello = new ControlRequest.HelloResponse(new Member("id-1", HOST, "127.0.0.1:7000"), true, false, "a,b")
                .toBytes();
        decodeOrReport(() -> ControlRequest.HelloResponse.of(corrupt(hello, position, first, second)));
    }

    /** Guards in particular against compressed texts that are damaged. */
    @Property(tries = 5_000, seed = "20261205")
    void corruptFetchResponseIsDecodedOrReported(@ForAll int position, @ForAll byte first, @ForAll byte second) {
        TemplateTexts texts =
                new TemplateTexts(4, new TreeMap<>(Map.of(SampleTemplates.BELLWORKS, SampleTemplates.text(1_000))));
        byte[] response = new ControlRequest.FetchResponse(true, true, texts).toBytes();
        decodeOrReport(() -> ControlRequest.FetchResponse.of(corrupt(response, position, first, second)));
    }

    @Property(tries = 2_000, seed = "20261205")
    void randomBytesAreDecodedOrReported(@ForAll byte[] bytes) {
        decodeOrReport(() -> ControlRequest.of(bytes));
        decodeOrReport(() -> ControlRequest.FetchResponse.of(bytes));
        decodeOrReport(() -> GroupMessage.decode(new Decoder(bytes)));
    }

    private static byte[] corrupt(byte[] message, int position, byte first, byte second) {
        byte[] corrupt = message.clone();
        corrupt[Math.floorMod(position, corrupt.length)] = first;
        corrupt[Math.floorMod(position + 1, corrupt.length)] = second;
        return corrupt;
    }

    private static void decodeOrReport(Runnable decode) {
        try {
            decode.run();
        } catch (IllegalArgumentException e) {
            // The documented report of a malformed message.
        }
    }
}
