package org.sequoianotch.protocol;

import java.util.Objects;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;

/**
 * Frame, the message unit of the node-to-node protocol.
 *
 * <p>A call carries an HTTP request and its response as a stream of frames; a {@link PeerRequest} is one
 * frame, and so is the response to it.
 *
 * <p>Byte arrays are not copied; frames are immutable as long as their arrays are not changed. Two frames with byte
 * arrays are equal only if they share the arrays.
 */
public sealed interface Frame {
    /** Version of the protocol that this module implements. */
    int VERSION = 3;

    /** Size of a nonce and of an authentication proof in bytes. */
    int PROOF_BYTES = 32;

    /** Maximum size of the body part in one frame. */
    int MAX_CHUNK_BYTES = 16 * 1024;

    /** Flow control window: body bytes in flight for each call and direction. */
    int WINDOW_BYTES = 64 * 1024;

    /**
     * First frame of the handshake, sent by the connecting side.
     *
     * @param version protocol version
     * @param host the connecting host; not null
     * @param dataCentre its data centre; not null
     * @param nonce {@link #PROOF_BYTES} random bytes; not null
     */
    record Hello(int version, HostId host, DataCentre dataCentre, byte[] nonce) implements Frame {
        /** Checks the length of the nonce. */
        public Hello {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(dataCentre, "dataCentre");
            checkLength("nonce", nonce);
        }
    }

    /**
     * Second frame of the handshake, sent by the accepting side.
     *
     * @param version protocol version
     * @param host the accepting host; not null
     * @param dataCentre its data centre; not null
     * @param nonce {@link #PROOF_BYTES} random bytes; not null
     * @param proof proof that the accepting side holds the deployment key; not null
     */
    record Challenge(int version, HostId host, DataCentre dataCentre, byte[] nonce, byte[] proof) implements Frame {
        /** Checks the lengths of the nonce and the proof. */
        public Challenge {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(dataCentre, "dataCentre");
            checkLength("nonce", nonce);
            checkLength("proof", proof);
        }
    }

    /**
     * Last frame of the handshake, sent by the connecting side.
     *
     * @param proof proof that the connecting side holds the deployment key; not null
     */
    record Proof(byte[] proof) implements Frame {
        /** Checks the length of the proof. */
        public Proof {
            checkLength("proof", proof);
        }
    }

    /**
     * Start of a call.
     *
     * @param callId id of the call; higher than all earlier ids on the link; positive
     * @param header head of the call; not null
     */
    record CallStart(long callId, CallHeader header) implements Frame {
        /** Checks that the call id is positive. */
        public CallStart {
            checkId(callId);
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * Part of the body of a call.
     *
     * @param callId id of the call; positive
     * @param bytes 1 to {@link #MAX_CHUNK_BYTES} bytes; not null
     */
    record Body(long callId, byte[] bytes) implements Frame {
        /** Checks the call id and the length of the part. */
        public Body {
            checkId(callId);
            checkChunk(bytes.length);
        }
    }

    /**
     * Complete end of the body of a call.
     *
     * @param callId id of the call; positive
     */
    record BodyEnd(long callId) implements Frame {
        /** Checks that the call id is positive. */
        public BodyEnd {
            checkId(callId);
        }
    }

    /**
     * Start of a response.
     *
     * @param callId id of the call; positive
     * @param header head of the response; not null
     */
    record ResponseStart(long callId, ResponseHeader header) implements Frame {
        /** Checks that the call id is positive. */
        public ResponseStart {
            checkId(callId);
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * Part of the body of a response.
     *
     * @param callId id of the call; positive
     * @param bytes 1 to {@link #MAX_CHUNK_BYTES} bytes; not null
     */
    record ResponseBody(long callId, byte[] bytes) implements Frame {
        /** Checks the call id and the length of the part. */
        public ResponseBody {
            checkId(callId);
            checkChunk(bytes.length);
        }
    }

    /**
     * Complete end of a response and of its call.
     *
     * @param callId id of the call; positive
     * @param trailer unused retries and load; not null
     */
    record ResponseEnd(long callId, ResponseTrailer trailer) implements Frame {
        /** Checks that the call id is positive. */
        public ResponseEnd {
            checkId(callId);
            Objects.requireNonNull(trailer, "trailer");
        }
    }

    /**
     * Refusal of a call, or failure after its response has started; ends the call.
     *
     * @param callId id of the call; positive
     * @param failure the reason; not null
     * @param trailer unused retries and load; not null
     */
    record Refused(long callId, Failure failure, ResponseTrailer trailer) implements Frame {
        /** Checks that the call id is positive. */
        public Refused {
            checkId(callId);
            Objects.requireNonNull(failure, "failure");
            Objects.requireNonNull(trailer, "trailer");
        }
    }

    /**
     * Window update: permits the peer to send more of a body.
     *
     * @param callId id of the call; positive
     * @param bytes additional bytes that may be sent; 1 to {@link #WINDOW_BYTES}
     */
    record Window(long callId, int bytes) implements Frame {
        /** Checks the call id and the number of bytes. */
        public Window {
            checkId(callId);
            if (bytes < 1 || bytes > WINDOW_BYTES) {
                throw new IllegalArgumentException(
                        "window of " + bytes + " bytes is out of range, expected 1 to " + WINDOW_BYTES);
            }
        }
    }

    /**
     * Cancellation of a call by its caller; ends the call.
     *
     * @param callId id of the call; positive
     * @param reason the reason; not null
     */
    record Cancel(long callId, String reason) implements Frame {
        /** Checks that the call id is positive. */
        public Cancel {
            checkId(callId);
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Peer request to the handler of a topic.
     *
     * @param peerRequestId id of the request on the link; positive
     * @param topic selects the handler; not null
     * @param payload the request, encoded by the module of the topic; not null
     */
    record PeerRequest(long peerRequestId, Topic topic, byte[] payload) implements Frame {
        /** Checks that the id is positive. */
        public PeerRequest {
            checkId(peerRequestId);
            Objects.requireNonNull(topic, "topic");
            Objects.requireNonNull(payload, "payload");
        }
    }

    /**
     * Response to a peer request.
     *
     * @param peerRequestId id of the request; positive
     * @param payload the response, encoded by the module of the topic; not null
     */
    record PeerResponse(long peerRequestId, byte[] payload) implements Frame {
        /** Checks that the id is positive. */
        public PeerResponse {
            checkId(peerRequestId);
            Objects.requireNonNull(payload, "payload");
        }
    }

    /**
     * Failure of a peer request.
     *
     * @param peerRequestId id of the request; positive
     * @param failure the reason; not null
     */
    record PeerRequestFailed(long peerRequestId, Failure failure) implements Frame {
        /** Checks that the id is positive. */
        public PeerRequestFailed {
            checkId(peerRequestId);
            Objects.requireNonNull(failure, "failure");
        }
    }

    /**
     * Heartbeat of the connecting side.
     *
     * @param number sequence number of the heartbeat on the link
     */
    record Ping(long number) implements Frame {}

    /**
     * Response to a {@link Ping}.
     *
     * @param number sequence number of the heartbeat
     */
    record Pong(long number) implements Frame {}

    /**
     * Notice that the sender shuts down and accepts no new calls; open calls finish.
     *
     * @param reason the reason; not null
     */
    record GoAway(String reason) implements Frame {
        /** Checks that the reason is not null. */
        public GoAway {
            Objects.requireNonNull(reason, "reason");
        }
    }

    private static void checkId(long id) {
        if (id < 1) {
            throw new IllegalArgumentException("id " + id + " is not positive");
        }
    }

    private static void checkChunk(int lengthBytes) {
        if (lengthBytes < 1 || lengthBytes > MAX_CHUNK_BYTES) {
            throw new IllegalArgumentException(
                    "body part of " + lengthBytes + " bytes is out of range, expected 1 to " + MAX_CHUNK_BYTES);
        }
    }

    private static void checkLength(String field, byte[] bytes) {
        if (bytes.length != PROOF_BYTES) {
            throw new IllegalArgumentException(field + " has " + bytes.length + " bytes instead of " + PROOF_BYTES);
        }
    }
}
