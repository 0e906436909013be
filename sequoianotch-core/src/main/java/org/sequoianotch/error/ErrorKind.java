package org.sequoianotch.error;

import java.util.Locale;
import java.util.Optional;

/**
 * Error kinds with the HTTP response that each of them produces.
 *
 * <p>A kind defines the HTTP status, the outcome reported to the caller, the time to wait before a retry, and the title
 * of the problem response. {@code docs/OPERATIONS.md} documents each kind for the on-call engineer.
 */
public enum ErrorKind {
    /** The request is malformed. */
    BAD_REQUEST(400, Outcome.NOT_RUN, 0, "The request is malformed."),
    /** No protection template contains the service. */
    UNKNOWN_SERVICE(404, Outcome.NOT_RUN, 0, "No protection template names this service."),
    /** The route needs an idempotency key. */
    KEY_REQUIRED(400, Outcome.NOT_RUN, 0, "This route needs an Idempotency-Key header."),
    /** The idempotency key was used for a different request before. */
    KEY_REUSED(422, Outcome.NOT_RUN, 0, "The idempotency key was used for a different request before."),
    /** Another attempt with the same key is running. */
    KEY_IN_PROGRESS(409, Outcome.UNKNOWN, 1_000, "Another attempt with this idempotency key is still running."),
    /** An earlier attempt with the same key may have run. */
    KEY_IN_DOUBT(409, Outcome.UNKNOWN, 0, "An earlier attempt with this idempotency key may have run."),
    /** No majority of the ledger in the key's home data centre is reachable. */
    LEDGER_UNREACHABLE(
            503, Outcome.UNKNOWN, 2_000, "The ledger that knows whether this idempotency key ran is out of reach."),
    /** The ledger grants no new idempotency keys, so the node generates none. */
    LEDGER_NOT_READY(503, Outcome.NOT_RUN, 1_000, "The ledger does not grant new idempotency keys at the moment."),
    /** The request was shed. */
    OVERLOADED(503, Outcome.NOT_RUN, 1_000, "The service is overloaded and more important requests go first."),
    /** The instance received the request and rejected it without running it. */
    INSTANCE_REFUSED(503, Outcome.NOT_RUN, 1_000, "The instance rejected the request without running it."),
    /** This node has not received the configuration yet. */
    NOT_CONFIGURED(503, Outcome.NOT_RUN, 2_000, "This node has not received the configuration yet."),
    /** The request body is larger than the configuration allows. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN, 0, "The request body is larger than allowed."),
    /** The node or the instance is draining. */
    DRAINING(503, Outcome.NOT_RUN, 1_000, "The instance is leaving and takes no new requests."),
    /** No serving instance of the service is reachable. */
    NO_INSTANCE(503, Outcome.NOT_RUN, 2_000, "No serving instance of this service is in reach."),
    /** Every attempt was refused and no retry is left. */
    RETRIES_EXHAUSTED(503, Outcome.NOT_RUN, 2_000, "Every attempt was refused and no retry is left."),
    /** The deadline of the caller or of the route, whichever is earlier, passed before anything was sent. */
    DEADLINE_BEFORE_RUN(504, Outcome.NOT_RUN, 1_000, "The deadline passed before the request was sent."),
    /** The deadline passed after the request was sent. */
    DEADLINE_IN_DOUBT(504, Outcome.UNKNOWN, 0, "The deadline passed after the request was sent."),
    /** A connection broke after the request was sent. */
    CONNECTION_LOST(502, Outcome.UNKNOWN, 0, "The connection broke after the request was sent."),
    /** The response of the backend server ended early. */
    BACKEND_CUT_ANSWER(502, Outcome.UNKNOWN, 0, "The backend server's answer ended early."),
    /** The request body of the caller ended early after a part of it had been forwarded. */
    BODY_INCOMPLETE(400, Outcome.UNKNOWN, 0, "The request body ended early."),
    /** The call that the request serves has ended, which its own caller may not know yet. */
    CALL_CANCELLED(502, Outcome.UNKNOWN, 0, "The call that this request serves has ended."),
    /** The caller closed its connection. Only recorded, because no response can be delivered. */
    CALLER_GONE(499, Outcome.UNKNOWN, 0, "The caller closed its connection."),
    /** An internal error of the node. */
    INTERNAL(500, Outcome.UNKNOWN, 0, "The node failed on an internal error.");

    private final int status;
    private final Outcome outcome;
    private final long retryAfterMs;
    private final String title;

    ErrorKind(int status, Outcome outcome, long retryAfterMs, String title) {
        this.status = status;
        this.outcome = outcome;
        this.retryAfterMs = retryAfterMs;
        this.title = title;
    }

    /**
     * Finds a kind by its code.
     *
     * @param code the code, such as {@code overloaded}; not null
     * @return the kind, or empty if no kind has this code
     */
    public static Optional<ErrorKind> ofCode(String code) {
        for (ErrorKind kind : values()) {
            if (kind.code().equals(code)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name used in responses, logs and metrics.
     *
     * @return the code in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the HTTP status of the response.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns the outcome reported to the caller.
     *
     * @return the outcome, never null
     */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * Returns how long the caller should wait before it retries the request.
     *
     * @return the wait in milliseconds; zero if waiting does not help
     */
    public long retryAfterMs() {
        return retryAfterMs;
    }

    /**
     * Returns the title of the problem response, which explains the kind to a caller.
     *
     * @return one sentence, never null
     */
    public String title() {
        return title;
    }

    /**
     * Tells whether this kind proves that the request did not run, so that it may be retried.
     *
     * @return true if no backend server ran the request
     */
    public boolean provesNotRun() {
        return outcome == Outcome.NOT_RUN;
    }
}
