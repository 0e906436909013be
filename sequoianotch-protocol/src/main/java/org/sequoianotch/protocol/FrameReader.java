package org.sequoianotch.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CodingErrorAction;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;

/** Decodes the fields of one frame in wire order and validates each of them. */
final class FrameReader {
    private static final MessagePack.UnpackerConfig CONFIG = new MessagePack.UnpackerConfig()
            .withActionOnMalformedString(CodingErrorAction.REPORT)
            .withActionOnUnmappableString(CodingErrorAction.REPORT);

    private final MessageUnpacker unpacker;
    private final int frameLengthBytes;

    /** Creates a reader of the first bytes of a frame, which may be shorter than the whole frame. */
    FrameReader(byte[] bytes, int frameLengthBytes) {
        unpacker = CONFIG.newUnpacker(bytes);
        this.frameLengthBytes = frameLengthBytes;
    }

    FrameType readType() throws IOException, FrameFormatException {
        int count = unpacker.unpackArrayHeader();
        if (count < 1) {
            throw new FrameFormatException("frame is an empty array, expected a type and fields");
        }
        FrameType type = FrameType.ofCode(unpacker.unpackInt());
        if (count - 1 != type.fieldCount()) {
            throw new FrameFormatException(
                    "frame " + type + " has " + (count - 1) + " fields instead of " + type.fieldCount());
        }
        return type;
    }

    Frame readFields(FrameType type) throws IOException, FrameFormatException {
        return switch (type) {
            case HELLO -> new Frame.Hello(unpacker.unpackInt(), readHost(), readDataCentre(), readBinary());
            case CHALLENGE -> new Frame.Challenge(
                    unpacker.unpackInt(), readHost(), readDataCentre(), readBinary(), readBinary());
            case PROOF -> new Frame.Proof(readBinary());
            case CALL_START -> new Frame.CallStart(readId(), readCallHeader());
            case BODY -> new Frame.Body(readId(), readBinary());
            case BODY_END -> new Frame.BodyEnd(readId());
            case RESPONSE_START -> new Frame.ResponseStart(
                    readId(),
                    new ResponseHeader(unpacker.unpackInt(), readHeaders(), unpacker.unpackLong(), readNotice()));
            case RESPONSE_BODY -> new Frame.ResponseBody(readId(), readBinary());
            case RESPONSE_END -> new Frame.ResponseEnd(readId(), readTrailer());
            case REFUSED -> new Frame.Refused(readId(), readFailure(), readTrailer());
            case WINDOW -> new Frame.Window(readId(), unpacker.unpackInt());
            case CANCEL -> new Frame.Cancel(readId(), unpacker.unpackString());
            case PEER_REQUEST -> new Frame.PeerRequest(readId(), readTopic(), readBinary());
            case PEER_RESPONSE -> new Frame.PeerResponse(readId(), readBinary());
            case PEER_REQUEST_FAILED -> new Frame.PeerRequestFailed(readId(), readFailure());
            case PING -> new Frame.Ping(unpacker.unpackLong());
            case PONG -> new Frame.Pong(unpacker.unpackLong());
            case GO_AWAY -> new Frame.GoAway(unpacker.unpackString());
        };
    }

    long readId() throws IOException {
        return unpacker.unpackLong();
    }

    /** Reads the length of a binary field and checks it against the frame before any memory is allocated for it. */
    int readBinaryLength() throws IOException, FrameFormatException {
        int length = unpacker.unpackBinaryHeader();
        if (length > frameLengthBytes - position()) {
            throw new FrameFormatException("binary field of " + length + " bytes is truncated");
        }
        return length;
    }

    int position() {
        return (int) unpacker.getTotalReadBytes();
    }

    void checkEnd() throws FrameFormatException {
        if (position() != frameLengthBytes) {
            throw new FrameFormatException((frameLengthBytes - position()) + " bytes follow the frame");
        }
    }

    private byte[] readBinary() throws IOException, FrameFormatException {
        return unpacker.readPayload(readBinaryLength());
    }

    private HostId readHost() throws IOException {
        return HostId.of(unpacker.unpackString());
    }

    private DataCentre readDataCentre() throws IOException {
        return DataCentre.of(unpacker.unpackString());
    }

    private CallHeader readCallHeader() throws IOException, FrameFormatException {
        return new CallHeader(
                readRequestId(),
                ServiceName.of(unpacker.unpackString()),
                unpacker.unpackString(),
                unpacker.unpackString(),
                readHeaders(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                readCriticality(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.getNextFormat() == MessageFormat.NIL ? readNil() : unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackBoolean(),
                readNotice());
    }

    private @Nullable String readNil() throws IOException {
        unpacker.unpackNil();
        return null;
    }

    private RequestId readRequestId() throws IOException, FrameFormatException {
        byte[] bytes = readBinary();
        if (bytes.length != 2 * Long.BYTES) {
            throw new FrameFormatException("request id has " + bytes.length + " bytes instead of 16");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RequestId(buffer.getLong(), buffer.getLong());
    }

    private Criticality readCriticality() throws IOException, FrameFormatException {
        return readConstant(Criticality.values(), "criticality");
    }

    private Topic readTopic() throws IOException, FrameFormatException {
        return readConstant(Topic.values(), "topic");
    }

    private <T> T readConstant(T[] constants, String what) throws IOException, FrameFormatException {
        int ordinal = unpacker.unpackInt();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new FrameFormatException(what + " " + ordinal + " is unknown");
        }
        return constants[ordinal];
    }

    private List<HeaderField> readHeaders() throws IOException, FrameFormatException {
        int count = unpacker.unpackArrayHeader();
        if (count % 2 != 0 || count > frameLengthBytes - position()) {
            throw new FrameFormatException(
                    "array of " + count + " header names and values has an odd length or is truncated");
        }
        List<HeaderField> headers = new ArrayList<>(count / 2);
        for (int i = 0; i < count; i += 2) {
            headers.add(new HeaderField(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }

    private ResponseTrailer readTrailer() throws IOException, FrameFormatException {
        return new ResponseTrailer(
                unpacker.unpackInt(),
                new LoadReport(
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        unpacker.unpackDouble(),
                        unpacker.unpackDouble(),
                        readRate()),
                readNotice());
    }

    private @Nullable InstanceNotice readNotice() throws IOException, FrameFormatException {
        if (unpacker.getNextFormat() == MessageFormat.NIL) {
            unpacker.unpackNil();
            return null;
        }
        int count = unpacker.unpackArrayHeader();
        if (count != FrameWriter.NOTICE_FIELDS) {
            throw new FrameFormatException("notice has " + count + " fields instead of " + FrameWriter.NOTICE_FIELDS);
        }
        return new InstanceNotice(unpacker.unpackLong(), unpacker.unpackLong(), readRate(), unpacker.unpackBoolean());
    }

    private double readRate() throws IOException {
        if (unpacker.getNextFormat() == MessageFormat.NIL) {
            unpacker.unpackNil();
            return InstanceNotice.UNLIMITED;
        }
        return unpacker.unpackDouble();
    }

    private Failure readFailure() throws IOException, FrameFormatException {
        String code = unpacker.unpackString();
        ErrorKind kind = ErrorKind.ofCode(code)
                .orElseThrow(() -> new FrameFormatException("error kind \"" + code + "\" is unknown"));
        return new Failure(kind, unpacker.unpackString(), unpacker.unpackLong());
    }
}
