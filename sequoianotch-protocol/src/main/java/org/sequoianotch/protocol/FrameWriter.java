package org.sequoianotch.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.InstanceNotice;

/** Encodes a frame as a MessagePack array of its type code and its fields in wire order. */
final class FrameWriter {
    /** Most frames have a few hundred bytes; the library would allocate its default of 8 KiB for each of them. */
    static final MessagePack.PackerConfig CONFIG = new MessagePack.PackerConfig().withBufferSize(512);

    static final int NOTICE_FIELDS = 4;

    private final MessagePacker packer;

    FrameWriter(MessagePacker packer) {
        this.packer = packer;
    }

    void write(Frame frame) throws IOException {
        writeHead(FrameType.of(frame));
        switch (frame) {
            case Frame.Hello f -> {
                packer.packInt(f.version());
                packer.packString(f.host().name()).packString(f.dataCentre().name());
                writeBinary(f.nonce());
            }
            case Frame.Challenge f -> {
                packer.packInt(f.version());
                packer.packString(f.host().name()).packString(f.dataCentre().name());
                writeBinary(f.nonce());
                writeBinary(f.proof());
            }
            case Frame.Proof f -> writeBinary(f.proof());
            case Frame.CallStart f -> writeCall(f.callId(), f.header());
            case Frame.Body f -> writeIdAndBinary(f.callId(), f.bytes());
            case Frame.BodyEnd f -> packer.packLong(f.callId());
            case Frame.ResponseStart f -> {
                packer.packLong(f.callId()).packInt(f.header().status());
                writeHeaders(f.header().headers());
                packer.packLong(f.header().bodyBytes());
                writeNotice(f.header().notice());
            }
            case Frame.ResponseBody f -> writeIdAndBinary(f.callId(), f.bytes());
            case Frame.ResponseEnd f -> {
                packer.packLong(f.callId());
                writeTrailer(f.trailer());
            }
            case Frame.Refused f -> {
                packer.packLong(f.callId());
                writeFailure(f.failure());
                writeTrailer(f.trailer());
            }
            case Frame.Window f -> packer.packLong(f.callId()).packInt(f.bytes());
            case Frame.Cancel f -> packer.packLong(f.callId()).packString(f.reason());
            case Frame.PeerRequest f -> {
                packer.packLong(f.peerRequestId()).packInt(f.topic().ordinal());
                writeBinary(f.payload());
            }
            case Frame.PeerResponse f -> writeIdAndBinary(f.peerRequestId(), f.payload());
            case Frame.PeerRequestFailed f -> {
                packer.packLong(f.peerRequestId());
                writeFailure(f.failure());
            }
            case Frame.Ping f -> packer.packLong(f.number());
            case Frame.Pong f -> packer.packLong(f.number());
            case Frame.GoAway f -> packer.packString(f.reason());
        }
    }

    void writeHead(FrameType type) throws IOException {
        packer.packArrayHeader(type.fieldCount() + 1).packInt(type.code());
    }

    private void writeCall(long callId, CallHeader header) throws IOException {
        packer.packLong(callId);
        writeBinary(requestIdBytes(header));
        packer.packString(header.service().name()).packString(header.method()).packString(header.path());
        writeHeaders(header.headers());
        packer.packLong(header.timeLeftMs()).packLong(header.targetLeftMs());
        packer.packInt(header.criticality().ordinal());
        packer.packInt(header.retryShare()).packInt(header.depth());
        if (header.idempotencyKey() == null) {
            packer.packNil();
        } else {
            packer.packString(header.idempotencyKey());
        }
        packer.packLong(header.bodyBytes()).packBoolean(header.repeated());
        writeNotice(header.notice());
    }

    private void writeNotice(@Nullable InstanceNotice notice) throws IOException {
        if (notice == null) {
            packer.packNil();
            return;
        }
        packer.packArrayHeader(NOTICE_FIELDS);
        packer.packLong(notice.incarnation()).packLong(notice.version());
        writeRate(notice.maxRequestsPerS());
        packer.packBoolean(notice.leaving());
    }

    private void writeRate(double requestsPerS) throws IOException {
        if (requestsPerS == InstanceNotice.UNLIMITED) {
            packer.packNil();
        } else {
            packer.packDouble(requestsPerS);
        }
    }

    private static byte[] requestIdBytes(CallHeader header) {
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(header.requestId().high())
                .putLong(header.requestId().low())
                .array();
    }

    /** Writes header fields as one flat array of alternating names and values. */
    private void writeHeaders(List<HeaderField> headers) throws IOException {
        packer.packArrayHeader(2 * headers.size());
        for (HeaderField header : headers) {
            packer.packString(header.name()).packString(header.value());
        }
    }

    private void writeTrailer(ResponseTrailer trailer) throws IOException {
        packer.packInt(trailer.returnedRetries());
        packer.packInt(trailer.load().inFlight()).packInt(trailer.load().limit());
        packer.packInt(trailer.load().queued());
        packer.packDouble(trailer.load().admissionLevel())
                .packDouble(trailer.load().instanceLevel());
        writeRate(trailer.load().maxRequestsPerS());
        writeNotice(trailer.notice());
    }

    private void writeFailure(Failure failure) throws IOException {
        packer.packString(failure.kind().code()).packString(failure.detail());
        packer.packLong(failure.retryAfterMs());
    }

    private void writeIdAndBinary(long id, byte[] bytes) throws IOException {
        packer.packLong(id);
        writeBinary(bytes);
    }

    private void writeBinary(byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }
}
