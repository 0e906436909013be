package org.sequoianotch.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.sequoianotch.error.Failure;

/** Writes the fields of frames in their wire order. */
final class FrameWriter {
    /** Most frames are a few hundred bytes; the library's default of 8 KiB would be allocated for each frame. */
    static final MessagePack.PackerConfig CONFIG = new MessagePack.PackerConfig().withBufferSize(512);

    private final MessagePacker packer;

    FrameWriter(MessagePacker packer) {
        this.packer = packer;
    }

    void write(Frame frame) throws IOException {
        start(FrameType.of(frame));
        switch (frame) {
            case Frame.Hello f -> {
                packer.packInt(f.version());
                packer.packString(f.host().name()).packString(f.dataCentre().name());
                binary(f.nonce());
            }
            case Frame.Challenge f -> {
                packer.packInt(f.version());
                packer.packString(f.host().name()).packString(f.dataCentre().name());
                binary(f.nonce());
                binary(f.proof());
            }
            case Frame.Proof f -> binary(f.proof());
            case Frame.CallStart f -> callStart(f.callId(), f.header());
            case Frame.Body f -> idAndBinary(f.callId(), f.bytes());
            case Frame.BodyEnd f -> packer.packLong(f.callId());
            case Frame.AnswerStart f -> {
                packer.packLong(f.callId()).packInt(f.header().status());
                headers(f.header().headers());
                packer.packLong(f.header().bodyBytes());
            }
            case Frame.AnswerBody f -> idAndBinary(f.callId(), f.bytes());
            case Frame.AnswerEnd f -> {
                packer.packLong(f.callId());
                trailer(f.trailer());
            }
            case Frame.Refused f -> {
                packer.packLong(f.callId());
                failure(f.failure());
                trailer(f.trailer());
            }
            case Frame.Window f -> packer.packLong(f.callId()).packInt(f.bytes());
            case Frame.Cancel f -> packer.packLong(f.callId()).packString(f.reason());
            case Frame.Ask f -> {
                packer.packLong(f.askId()).packInt(f.topic().ordinal());
                binary(f.payload());
            }
            case Frame.Reply f -> idAndBinary(f.askId(), f.payload());
            case Frame.AskFailed f -> {
                packer.packLong(f.askId());
                failure(f.failure());
            }
            case Frame.Ping f -> packer.packLong(f.number());
            case Frame.Pong f -> packer.packLong(f.number());
            case Frame.GoAway f -> packer.packString(f.reason());
        }
    }

    void start(FrameType type) throws IOException {
        packer.packArrayHeader(type.fieldCount() + 1).packInt(type.code());
    }

    private void callStart(long callId, CallHeader header) throws IOException {
        packer.packLong(callId);
        binary(requestId(header));
        packer.packString(header.service().name()).packString(header.method()).packString(header.path());
        headers(header.headers());
        packer.packLong(header.timeLeftMs()).packInt(header.criticality().ordinal());
        packer.packInt(header.retryShare()).packInt(header.depth());
        if (header.idempotencyKey() == null) {
            packer.packNil();
        } else {
            packer.packString(header.idempotencyKey());
        }
        packer.packLong(header.bodyBytes());
    }

    private static byte[] requestId(CallHeader header) {
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(header.requestId().high())
                .putLong(header.requestId().low())
                .array();
    }

    /** Header fields are one flat array of names and values. */
    private void headers(List<HeaderField> headers) throws IOException {
        packer.packArrayHeader(2 * headers.size());
        for (HeaderField header : headers) {
            packer.packString(header.name()).packString(header.value());
        }
    }

    private void trailer(AnswerTrailer trailer) throws IOException {
        packer.packInt(trailer.returnedRetries());
        packer.packInt(trailer.load().inFlight()).packInt(trailer.load().limit());
        packer.packInt(trailer.load().queued());
        packer.packDouble(trailer.load().admissionLevel())
                .packDouble(trailer.load().instanceLevel());
    }

    private void failure(Failure failure) throws IOException {
        packer.packString(failure.kind().code()).packString(failure.detail());
        packer.packLong(failure.retryAfterMs());
    }

    private void idAndBinary(long id, byte[] bytes) throws IOException {
        packer.packLong(id);
        binary(bytes);
    }

    private void binary(byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }
}
