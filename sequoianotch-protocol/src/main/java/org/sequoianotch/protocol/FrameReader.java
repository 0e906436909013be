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
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;

/** Reads the fields of one frame in their wire order, and checks each of them. */
final class FrameReader {
    private static final MessagePack.UnpackerConfig CONFIG = new MessagePack.UnpackerConfig()
            .withActionOnMalformedString(CodingErrorAction.REPORT)
            .withActionOnUnmappableString(CodingErrorAction.REPORT);

    private final MessageUnpacker unpacker;
    private final int lengthBytes;

    /** Creates a reader of the first bytes of a frame, whose whole length may be greater. */
    FrameReader(byte[] bytes, int frameLengthBytes) {
        unpacker = CONFIG.newUnpacker(bytes);
        lengthBytes = frameLengthBytes;
    }

    FrameType readType() throws IOException, FrameFormatException {
        int count = unpacker.unpackArrayHeader();
        if (count < 1) {
            throw new FrameFormatException("frame is an empty array");
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
            case HELLO -> new Frame.Hello(unpacker.unpackInt(), host(), dataCentre(), binary());
            case CHALLENGE -> new Frame.Challenge(unpacker.unpackInt(), host(), dataCentre(), binary(), binary());
            case PROOF -> new Frame.Proof(binary());
            case CALL_START -> new Frame.CallStart(id(), callHeader());
            case BODY -> new Frame.Body(id(), binary());
            case BODY_END -> new Frame.BodyEnd(id());
            case ANSWER_START -> new Frame.AnswerStart(
                    id(), new AnswerHeader(unpacker.unpackInt(), headers(), unpacker.unpackLong()));
            case ANSWER_BODY -> new Frame.AnswerBody(id(), binary());
            case ANSWER_END -> new Frame.AnswerEnd(id(), trailer());
            case REFUSED -> new Frame.Refused(id(), failure(), trailer());
            case WINDOW -> new Frame.Window(id(), unpacker.unpackInt());
            case CANCEL -> new Frame.Cancel(id(), unpacker.unpackString());
            case ASK -> new Frame.Ask(id(), topic(), binary());
            case REPLY -> new Frame.Reply(id(), binary());
            case ASK_FAILED -> new Frame.AskFailed(id(), failure());
            case PING -> new Frame.Ping(unpacker.unpackLong());
            case PONG -> new Frame.Pong(unpacker.unpackLong());
            case GO_AWAY -> new Frame.GoAway(unpacker.unpackString());
        };
    }

    long id() throws IOException {
        return unpacker.unpackLong();
    }

    /** Reads the header of a binary field and checks its length before anything is allocated for it. */
    int binaryLength() throws IOException, FrameFormatException {
        int length = unpacker.unpackBinaryHeader();
        if (length > lengthBytes - position()) {
            throw new FrameFormatException("binary field of " + length + " bytes is truncated");
        }
        return length;
    }

    int position() {
        return (int) unpacker.getTotalReadBytes();
    }

    void checkEnd() throws FrameFormatException {
        if (position() != lengthBytes) {
            throw new FrameFormatException((lengthBytes - position()) + " bytes follow the frame");
        }
    }

    private byte[] binary() throws IOException, FrameFormatException {
        return unpacker.readPayload(binaryLength());
    }

    private HostId host() throws IOException {
        return HostId.of(unpacker.unpackString());
    }

    private DataCentre dataCentre() throws IOException {
        return DataCentre.of(unpacker.unpackString());
    }

    private CallHeader callHeader() throws IOException, FrameFormatException {
        return new CallHeader(
                requestId(),
                ServiceName.of(unpacker.unpackString()),
                unpacker.unpackString(),
                unpacker.unpackString(),
                headers(),
                unpacker.unpackLong(),
                criticality(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.getNextFormat() == MessageFormat.NIL ? nil() : unpacker.unpackString(),
                unpacker.unpackLong());
    }

    private @Nullable String nil() throws IOException {
        unpacker.unpackNil();
        return null;
    }

    private RequestId requestId() throws IOException, FrameFormatException {
        byte[] bytes = binary();
        if (bytes.length != 2 * Long.BYTES) {
            throw new FrameFormatException("request id has " + bytes.length + " bytes");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RequestId(buffer.getLong(), buffer.getLong());
    }

    private Criticality criticality() throws IOException, FrameFormatException {
        return constant(Criticality.values(), "criticality");
    }

    private Topic topic() throws IOException, FrameFormatException {
        return constant(Topic.values(), "topic");
    }

    private <T> T constant(T[] constants, String what) throws IOException, FrameFormatException {
        int ordinal = unpacker.unpackInt();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new FrameFormatException(what + " " + ordinal + " is unknown");
        }
        return constants[ordinal];
    }

    private List<HeaderField> headers() throws IOException, FrameFormatException {
        int count = unpacker.unpackArrayHeader();
        if (count % 2 != 0 || count > lengthBytes - position()) {
            throw new FrameFormatException("array of " + count + " header names and values is odd or truncated");
        }
        List<HeaderField> headers = new ArrayList<>(count / 2);
        for (int i = 0; i < count; i += 2) {
            headers.add(new HeaderField(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }

    private AnswerTrailer trailer() throws IOException {
        return new AnswerTrailer(
                unpacker.unpackInt(),
                new LoadReport(
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        unpacker.unpackDouble(),
                        unpacker.unpackDouble()));
    }

    private Failure failure() throws IOException, FrameFormatException {
        String code = unpacker.unpackString();
        ErrorKind kind = ErrorKind.ofCode(code)
                .orElseThrow(() -> new FrameFormatException("error kind \"" + code + "\" is unknown"));
        return new Failure(kind, unpacker.unpackString(), unpacker.unpackLong());
    }
}
