package org.sequoianotch.protocol;

/** Type of a frame. The ordinal plus one is the wire value: add constants only at the end. */
enum FrameType {
    HELLO(4),
    CHALLENGE(5),
    PROOF(1),
    CALL_START(15),
    BODY(2),
    BODY_END(1),
    RESPONSE_START(5),
    RESPONSE_BODY(2),
    RESPONSE_END(9),
    REFUSED(12),
    WINDOW(2),
    CANCEL(2),
    PEER_REQUEST(3),
    PEER_RESPONSE(2),
    PEER_REQUEST_FAILED(4),
    PING(1),
    PONG(1),
    GO_AWAY(1);

    private static final FrameType[] ALL = values();

    private final int fieldCount;

    FrameType(int fieldCount) {
        this.fieldCount = fieldCount;
    }

    static FrameType ofCode(int code) throws FrameFormatException {
        if (code < 1 || code > ALL.length) {
            throw new FrameFormatException("frame type " + code + " is unknown");
        }
        return ALL[code - 1];
    }

    static FrameType of(Frame frame) {
        return switch (frame) {
            case Frame.Hello f -> HELLO;
            case Frame.Challenge f -> CHALLENGE;
            case Frame.Proof f -> PROOF;
            case Frame.CallStart f -> CALL_START;
            case Frame.Body f -> BODY;
            case Frame.BodyEnd f -> BODY_END;
            case Frame.ResponseStart f -> RESPONSE_START;
            case Frame.ResponseBody f -> RESPONSE_BODY;
            case Frame.ResponseEnd f -> RESPONSE_END;
            case Frame.Refused f -> REFUSED;
            case Frame.Window f -> WINDOW;
            case Frame.Cancel f -> CANCEL;
            case Frame.PeerRequest f -> PEER_REQUEST;
            case Frame.PeerResponse f -> PEER_RESPONSE;
            case Frame.PeerRequestFailed f -> PEER_REQUEST_FAILED;
            case Frame.Ping f -> PING;
            case Frame.Pong f -> PONG;
            case Frame.GoAway f -> GO_AWAY;
        };
    }

    int code() {
        return ordinal() + 1;
    }

    int fieldCount() {
        return fieldCount;
    }

    boolean isBodyPart() {
        return this == BODY || this == RESPONSE_BODY;
    }
}
