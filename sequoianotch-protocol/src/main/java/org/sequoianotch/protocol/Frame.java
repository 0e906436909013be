package org.sequoianotch.protocol;

import java.util.Objects;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;

/**
 * One message of the inner protocol.
 *
 * <p>Frames are immutable as long as nobody changes their byte arrays, which are not copied. Two frames with byte
 * arrays are equal only if they share the arrays.
 */
public sealed interface Frame {
    /** Version of the protocol that this module speaks. */
    int VERSION = 2;

    /** Length of a nonce and of a proof. */
    int PROOF_BYTES = 32;

    /** Longest body part in one frame. */
    int MAX_CHUNK_BYTES = 16 * 1024;

    /** Body bytes that may be under way for each call and direction. */
    int WINDOW_BYTES = 64 * 1024;

    /**
     * First frame of the connecting side.
     *
     * @param version protocol version
     * @param host the connecting host; not null
     * @param dataCentre its data centre; not null
     * @param nonce {@link #PROOF_BYTES} random bytes; not null
     */
    record Hello(int version, HostId host, DataCentre dataCentre, byte[] nonce) implements Frame {
        /** Checks the components. */
        public Hello {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(dataCentre, "dataCentre");
            checkProof("nonce", nonce);
        }
    }

    /**
     * Reply of the accepting side to {@link Hello}.
     *
     * @param version protocol version
     * @param host the accepting host; not null
     * @param dataCentre its data centre; not null
     * @param nonce {@link #PROOF_BYTES} random bytes; not null
     * @param proof proof that the accepting side holds the deployment key; not null
     */
    record Challenge(int version, HostId host, DataCentre dataCentre, byte[] nonce, byte[] proof) implements Frame {
        /** Checks the components. */
        public Challenge {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(dataCentre, "dataCentre");
            checkProof("nonce", nonce);
            checkProof("proof", proof);
        }
    }

    /**
     * Last frame of the handshake, from the connecting side.
     *
     * @param proof proof that the connecting side holds the deployment key; not null
     */
    record Proof(byte[] proof) implements Frame {
        /** Checks the components. */
        public Proof {
            checkProof("proof", proof);
        }
    }

    /**
     * Opens a call.
     *
     * @param callId number of the call, higher than all before on the link; positive
     * @param header head of the call; not null
     */
    record CallStart(long callId, CallHeader header) implements Frame {
        /** Checks the components. */
        public CallStart {
            checkId(callId);
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * Part of the body of a call.
     *
     * @param callId number of the call; positive
     * @param bytes 1 to {@link #MAX_CHUNK_BYTES} bytes; not null
     */
    record Body(long callId, byte[] bytes) implements Frame {
        /** Checks the components. */
        public Body {
            checkId(callId);
            checkChunk(bytes.length);
        }
    }

    /**
     * Proper end of the body of a call.
     *
     * @param callId number of the call; positive
     */
    record BodyEnd(long callId) implements Frame {
        /** Checks the components. */
        public BodyEnd {
            checkId(callId);
        }
    }

    /**
     * Head of an answer.
     *
     * @param callId number of the call; positive
     * @param header head of the answer; not null
     */
    record AnswerStart(long callId, AnswerHeader header) implements Frame {
        /** Checks the components. */
        public AnswerStart {
            checkId(callId);
            Objects.requireNonNull(header, "header");
        }
    }

    /**
     * Part of the body of an answer.
     *
     * @param callId number of the call; positive
     * @param bytes 1 to {@link #MAX_CHUNK_BYTES} bytes; not null
     */
    record AnswerBody(long callId, byte[] bytes) implements Frame {
        /** Checks the components. */
        public AnswerBody {
            checkId(callId);
            checkChunk(bytes.length);
        }
    }

    /**
     * Proper end of an answer and of its call.
     *
     * @param callId number of the call; positive
     * @param trailer unused retries and load; not null
     */
    record AnswerEnd(long callId, AnswerTrailer trailer) implements Frame {
        /** Checks the components. */
        public AnswerEnd {
            checkId(callId);
            Objects.requireNonNull(trailer, "trailer");
        }
    }

    /**
     * Refusal or break-off of a call, which ends it.
     *
     * @param callId number of the call; positive
     * @param failure why; not null
     * @param trailer unused retries and load; not null
     */
    record Refused(long callId, Failure failure, AnswerTrailer trailer) implements Frame {
        /** Checks the components. */
        public Refused {
            checkId(callId);
            Objects.requireNonNull(failure, "failure");
            Objects.requireNonNull(trailer, "trailer");
        }
    }

    /**
     * Permission to send more of a body.
     *
     * @param callId number of the call; positive
     * @param bytes how much more; 1 to {@link #WINDOW_BYTES}
     */
    record Window(long callId, int bytes) implements Frame {
        /** Checks the components. */
        public Window {
            checkId(callId);
            if (bytes < 1 || bytes > WINDOW_BYTES) {
                throw new IllegalArgumentException("window of " + bytes + " bytes is out of range");
            }
        }
    }

    /**
     * Cancellation of a call by its caller, which ends it.
     *
     * @param callId number of the call; positive
     * @param reason why; not null
     */
    record Cancel(long callId, String reason) implements Frame {
        /** Checks the components. */
        public Cancel {
            checkId(callId);
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * A question.
     *
     * @param askId number of the question on the link; positive
     * @param topic the subject; not null
     * @param payload the question in the encoding of the topic's module; not null
     */
    record Ask(long askId, Topic topic, byte[] payload) implements Frame {
        /** Checks the components. */
        public Ask {
            checkId(askId);
            Objects.requireNonNull(topic, "topic");
            Objects.requireNonNull(payload, "payload");
        }
    }

    /**
     * Answer to a question.
     *
     * @param askId number of the question; positive
     * @param payload the answer; not null
     */
    record Reply(long askId, byte[] payload) implements Frame {
        /** Checks the components. */
        public Reply {
            checkId(askId);
            Objects.requireNonNull(payload, "payload");
        }
    }

    /**
     * Failure of a question.
     *
     * @param askId number of the question; positive
     * @param failure why; not null
     */
    record AskFailed(long askId, Failure failure) implements Frame {
        /** Checks the components. */
        public AskFailed {
            checkId(askId);
            Objects.requireNonNull(failure, "failure");
        }
    }

    /**
     * Heartbeat.
     *
     * @param number counts the heartbeats of the link
     */
    record Ping(long number) implements Frame {}

    /**
     * Reply to a heartbeat.
     *
     * @param number number of the heartbeat
     */
    record Pong(long number) implements Frame {}

    /**
     * Notice that the sender is leaving and takes no new calls.
     *
     * @param reason why; not null
     */
    record GoAway(String reason) implements Frame {
        /** Checks the components. */
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
            throw new IllegalArgumentException("body part of " + lengthBytes + " bytes is out of range");
        }
    }

    private static void checkProof(String what, byte[] bytes) {
        if (bytes.length != PROOF_BYTES) {
            throw new IllegalArgumentException(what + " has " + bytes.length + " bytes instead of " + PROOF_BYTES);
        }
    }
}
