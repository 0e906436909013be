package org.sequoianotch.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;

/**
 * Guards against frames that change on the wire, and against malformed input that is accepted or fails with anything
 * but a {@link FrameFormatException}. Peers may be faulty or not authenticated yet, so any bytes can arrive.
 */
class FrameCodecTest {
    /** Guards against fields that are lost, swapped or narrowed on the wire. */
    @Property(tries = 1_000, seed = "20261204")
    void framesRoundTrip(@ForAll("frames") Frame frame) throws FrameFormatException {
        byte[] bytes = FrameCodec.encode(frame);
        Frame decoded = FrameCodec.decode(bytes);
        assertThat(decoded.getClass()).isEqualTo(frame.getClass());
        assertThat(FrameCodec.encode(decoded)).isEqualTo(bytes);
        if (!decoded.toString().contains("[B@")) {
            assertThat(decoded).isEqualTo(frame);
        }
    }

    /** Guards against a length prefix or a body part without a copy that differs from the plain encoding. */
    @Property(tries = 200, seed = "20261204")
    void prefixedEncodingsMatchPlainEncoding(
            @ForAll @IntRange(min = 1, max = Frame.MAX_CHUNK_BYTES) int length, @ForAll boolean ofResponse)
            throws FrameFormatException {
        byte[] bytes = new byte[length + 7];
        new Random(length).nextBytes(bytes);
        byte[] part = Arrays.copyOfRange(bytes, 3, 3 + length);
        Frame frame = ofResponse ? new Frame.ResponseBody(900, part) : new Frame.Body(900, part);
        byte[] plain = FrameCodec.encode(frame);
        ByteBuffer expected =
                ByteBuffer.allocate(4 + plain.length).putInt(plain.length).put(plain);
        ByteBuf shared = FrameCodec.encodeBody(900, ofResponse, bytes, 3, length);
        assertThat(ByteBufUtil.getBytes(shared)).isEqualTo(expected.array());
        assertThat(ByteBufUtil.getBytes(FrameCodec.encodeWithPrefix(frame))).isEqualTo(expected.array());
    }

    /** Guards against random bytes that cause anything but a frame or the documented exception. */
    @Property(tries = 5_000, seed = "20261204")
    void randomBytesAreDecodedOrReported(@ForAll @Size(max = 200) byte[] bytes) {
        decodeOrReport(bytes);
    }

    /** Guards against corrupt frames that pass validation. They are closer to valid frames than random bytes. */
    @Property(tries = 5_000, seed = "20261204")
    void corruptFramesAreDecodedOrReported(@ForAll("frames") Frame frame, @ForAll int position, @ForAll byte value)
            throws FrameFormatException {
        byte[] bytes = FrameCodec.encode(frame);
        bytes[Math.floorMod(position, bytes.length)] = value;
        decodeOrReport(bytes);
    }

    /** Guards against frames that are accepted although they are truncated or followed by more bytes. */
    @Property(tries = 1_000, seed = "20261204")
    void truncatedAndTrailingBytesAreReported(@ForAll("frames") Frame frame, @ForAll int position)
            throws FrameFormatException {
        byte[] bytes = FrameCodec.encode(frame);
        byte[] truncated = Arrays.copyOf(bytes, Math.floorMod(position, bytes.length));
        assertThrows(FrameFormatException.class, () -> FrameCodec.decode(truncated));
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(FrameFormatException.class, () -> FrameCodec.decode(longer));
    }

    /** Guards against malformed frames whose error message does not name the fault. */
    @ParameterizedTest
    @MethodSource("malformed")
    void errorMessageNamesFault(byte[] bytes, String message) {
        FrameFormatException e = assertThrows(FrameFormatException.class, () -> FrameCodec.decode(bytes));
        assertThat(e).hasMessageThat().contains(message);
    }

    static List<Arguments> malformed() throws Exception {
        return List.of(
                args(packed(p -> p.packArrayHeader(2).packInt(99).packInt(1)), "frame type 99 is unknown"),
                args(packed(p -> p.packArrayHeader(2).packInt(0).packInt(1)), "frame type 0 is unknown"),
                args(packed(p -> p.packArrayHeader(0)), "empty array"),
                args(packed(p -> p.packInt(6)), "Expected Array"),
                args(packed(p -> p.packArrayHeader(3).packInt(16).packInt(1).packInt(1)), "2 fields instead of 1"),
                args(packed(p -> p.packArrayHeader(2).packInt(16).packString("1")), "Expected Integer"),
                args(packed(p -> p.packArrayHeader(3).packInt(5).packInt(1).packBinaryHeader(1 << 30)), "truncated"),
                args(packed(p -> p.packArrayHeader(3).packInt(5).packInt(1).packBinaryHeader(0)), "0 bytes"),
                args(packed(p -> p.packArrayHeader(3).packInt(11).packInt(1).packInt(65_537)), "window of 65537"),
                args(packed(p -> p.packArrayHeader(2).packInt(6).packInt(0)), "id 0 is not positive"),
                args(
                        packed(p -> p.packArrayHeader(4)
                                .packInt(13)
                                .packInt(1)
                                .packInt(9)
                                .packBinaryHeader(0)),
                        "topic 9"),
                args(packed(p -> p.packArrayHeader(5).packInt(1).packInt(1).packString("a\nb")), "host \"a?b\" is not"),
                args(new byte[FrameCodec.MAX_FRAME_BYTES + 1], "exceeds the maximum of 262144 bytes"));
    }

    /** Guards against sending a frame that exceeds the maximum size, for which the peer closes the link. */
    @ParameterizedTest
    @ValueSource(ints = {FrameCodec.MAX_FRAME_BYTES, 1 << 20})
    void oversizedFrameIsNotEncoded(int payloadBytes) {
        Frame request = new Frame.PeerRequest(1, Topic.CONTROL, new byte[payloadBytes]);
        assertThrows(FrameFormatException.class, () -> FrameCodec.encode(request));
    }

    private interface Packing {
        void pack(MessageBufferPacker packer) throws Exception;
    }

    private static byte[] packed(Packing packing) throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packing.pack(packer);
            return packer.toByteArray();
        }
    }

    private static Arguments args(byte[] bytes, String message) {
        return Arguments.of(bytes, message);
    }

    private static void decodeOrReport(byte[] bytes) {
        try {
            assertThat(FrameCodec.decode(bytes)).isNotNull();
        } catch (FrameFormatException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    @Provide
    Arbitrary<Frame> frames() {
        Arbitrary<Long> ids = Arbitraries.longs().between(1, Long.MAX_VALUE);
        Arbitrary<String> texts = Arbitraries.strings().map(FrameCodecTest::withoutSurrogates);
        Arbitrary<byte[]> proofs = Arbitraries.bytes().array(byte[].class).ofSize(Frame.PROOF_BYTES);
        Arbitrary<byte[]> payloads =
                Arbitraries.bytes().array(byte[].class).ofMinSize(1).ofMaxSize(3_000);
        Arbitrary<HostId> hosts = Arbitraries.of("h", "host-17").map(HostId::of);
        Arbitrary<DataCentre> dataCentres = Arbitraries.of("a", "dc-2").map(DataCentre::of);
        Arbitrary<Integer> counts = Arbitraries.integers().between(0, Integer.MAX_VALUE);
        Arbitrary<Failure> failures = Combinators.combine(
                        Arbitraries.of(ErrorKind.class),
                        texts,
                        Arbitraries.longs().greaterOrEqual(0))
                .as(Failure::new);
        Arbitrary<Double> rates =
                Arbitraries.oneOf(Arbitraries.doubles().between(0, 1e15), Arbitraries.just(InstanceNotice.UNLIMITED));
        Arbitrary<InstanceNotice> notices = Combinators.combine(
                        Arbitraries.longs(), ids, rates, Arbitraries.of(true, false))
                .as(InstanceNotice::new)
                .injectNull(0.5);
        Arbitrary<ResponseTrailer> trailers = Combinators.combine(
                        counts, counts, counts, Arbitraries.doubles().between(0, 3), rates, notices)
                .as((a, b, c, level, rate, notice) ->
                        new ResponseTrailer(a, new LoadReport(b, Math.max(1, c), a, level / 2, level, rate), notice));
        Arbitrary<List<HeaderField>> headers =
                Combinators.combine(texts, texts).as(HeaderField::new).list().ofMaxSize(8);
        Arbitrary<Long> lengths = Arbitraries.longs().greaterOrEqual(CallHeader.LENGTH_UNKNOWN);
        Arbitrary<CallHeader> calls = Combinators.combine(
                        ids,
                        texts,
                        headers,
                        ids,
                        Arbitraries.of(Criticality.class),
                        counts,
                        Combinators.combine(texts.injectNull(0.5), notices).as(KeyAndNotice::new),
                        lengths)
                .as((id, text, fields, timeLeftMs, criticality, count, keyAndNotice, length) -> new CallHeader(
                        new RequestId(id, ~id),
                        ServiceName.of("jury"),
                        text,
                        "/" + text,
                        fields,
                        timeLeftMs,
                        timeLeftMs - count,
                        criticality,
                        count,
                        count,
                        keyAndNotice.key(),
                        length,
                        count % 2 == 0,
                        keyAndNotice.notice()));
        Arbitrary<ResponseHeader> responses = Combinators.combine(
                        Arbitraries.integers().between(200, 599), headers, lengths, notices)
                .as(ResponseHeader::new);
        return Arbitraries.oneOf(
                Combinators.combine(counts, hosts, dataCentres, proofs).as(Frame.Hello::new),
                Combinators.combine(counts, hosts, dataCentres, proofs, proofs).as(Frame.Challenge::new),
                proofs.map(Frame.Proof::new),
                Combinators.combine(ids, calls).as(Frame.CallStart::new),
                Combinators.combine(ids, payloads).as(Frame.Body::new),
                ids.map(Frame.BodyEnd::new),
                Combinators.combine(ids, responses).as(Frame.ResponseStart::new),
                Combinators.combine(ids, payloads).as(Frame.ResponseBody::new),
                Combinators.combine(ids, trailers).as(Frame.ResponseEnd::new),
                Combinators.combine(ids, failures, trailers).as(Frame.Refused::new),
                Combinators.combine(ids, Arbitraries.integers().between(1, Frame.WINDOW_BYTES))
                        .as(Frame.Window::new),
                Combinators.combine(ids, texts).as(Frame.Cancel::new),
                Combinators.combine(ids, Arbitraries.of(Topic.class), payloads).as(Frame.PeerRequest::new),
                Combinators.combine(ids, payloads).as(Frame.PeerResponse::new),
                Combinators.combine(ids, failures).as(Frame.PeerRequestFailed::new),
                Arbitraries.longs().map(Frame.Ping::new),
                Arbitraries.longs().map(Frame.Pong::new),
                texts.map(Frame.GoAway::new));
    }

    /** Two fields in one, because arbitraries can be combined from eight parts at most. */
    private record KeyAndNotice(@Nullable String key, @Nullable InstanceNotice notice) {}

    /** Removes surrogates, because unpaired surrogates cannot be encoded as UTF-8. */
    private static String withoutSurrogates(String text) {
        return text.replaceAll("[\\uD800-\\uDFFF]", "");
    }
}
