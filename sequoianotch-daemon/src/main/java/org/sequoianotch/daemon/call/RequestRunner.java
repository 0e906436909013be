package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.daemon.http.HeaderFields;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.daemon.ledger.Claim;
import org.sequoianotch.daemon.ledger.ClaimResult;
import org.sequoianotch.daemon.ledger.Fingerprint;
import org.sequoianotch.daemon.ledger.IdempotencyKey;
import org.sequoianotch.daemon.ledger.Ledger;
import org.sequoianotch.daemon.ledger.StoredResponse;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.error.Outcome;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.protocol.HeaderField;
import org.sequoianotch.time.Clock;

/**
 * Runs one request from its head to the end of its response: claims its idempotency key, makes the attempts and
 * responds to the caller.
 *
 * <p>This class is thread-safe.
 */
final class RequestRunner {
    private static final Logger LOG = LogManager.getLogger(RequestRunner.class);
    static final String OUTCOME_HEADER = "Sequoianotch-Outcome";
    static final String REQUEST_ID_HEADER = "Sequoianotch-Request-Id";
    private static final long CLAIM_COMPLETE_TIMEOUT_MS = 1_000;

    private final CallForwarder forwarder;
    private final Ledger ledger;
    private final List<DataCentre> dataCentres;
    private final RequestRecorder recorder;
    private final Clock clock;
    private final Function<Failure, BufferedResponse> refusals;

    RequestRunner(
            CallForwarder forwarder,
            Ledger ledger,
            List<DataCentre> dataCentres,
            RequestRecorder recorder,
            Clock clock,
            Function<Failure, BufferedResponse> refusals) {
        this.forwarder = forwarder;
        this.ledger = ledger;
        this.dataCentres = List.copyOf(dataCentres);
        this.recorder = recorder;
        this.clock = clock;
        this.refusals = refusals;
    }

    /** Runs the request, responds or aborts the exchange even after an unexpected exception, and ends the context. */
    RunResult runGuarded(HttpExchange exchange, OutboundCall outbound, RequestContext context)
            throws InterruptedException {
        try {
            return run(exchange, outbound, context);
        } catch (RuntimeException e) {
            LOG.error(
                    "[call] Unexpected exception while running request {} to {}.",
                    context.requestId(),
                    outbound.service(),
                    e);
            if (exchange.isHeadSent()) {
                exchange.abort();
                return new RunResult(ErrorKind.INTERNAL.status(), ErrorKind.INTERNAL, 0);
            }
            return refuse(exchange, context, Failure.of(ErrorKind.INTERNAL, e.toString()), 0);
        } finally {
            context.cancel(new Cancellation(CancelCause.CALL_ABOVE_ENDED, "The request has ended."));
        }
    }

    /** Runs the request and responds; the result holds the status and error of the response. */
    RunResult run(HttpExchange exchange, OutboundCall outbound, RequestContext context) throws InterruptedException {
        if (!outbound.route().repeat().needsKey() || outbound.keyText().isEmpty()) {
            ForwardResult result = forwarder.forward(outbound, context, new ReplayableBody(exchange));
            return respond(exchange, outbound, context, result, null);
        }
        Either<Failure, IdempotencyKey> key =
                IdempotencyKey.parse(outbound.keyText().get(), dataCentres);
        if (key.isLeft()) {
            return refuse(exchange, context, key.getLeft(), 0);
        }
        Fingerprint fingerprint =
                Fingerprint.of(outbound.method(), "/" + outbound.service() + outbound.path(), outbound.bodyBytes());
        // A backend server may forward the key of the request that it serves. Under the same key its sub-call would
        // count as a different request that reuses the key, so a key of its own is derived for each sub-call.
        IdempotencyKey ownKey = context.depth() == 0 ? key.get() : key.get().forSubCall(fingerprint);
        ClaimResult claimed = ledger.claim(ownKey, fingerprint, new RemainingTime(context, clock).remainingMs());
        return switch (claimed) {
            case ClaimResult.Granted granted -> runClaimed(exchange, outbound, context, granted.claim());
            case ClaimResult.Completed completed -> sendStoredResponse(exchange, context, completed.response());
            case ClaimResult.InProgress other -> refuseForKey(
                    exchange, context, ErrorKind.KEY_IN_PROGRESS, other.detail());
            case ClaimResult.InDoubt other -> refuseForKey(exchange, context, ErrorKind.KEY_IN_DOUBT, other.detail());
            case ClaimResult.Reused other -> refuseForKey(exchange, context, ErrorKind.KEY_REUSED, other.detail());
            case ClaimResult.Unreachable other -> refuseForKey(
                    exchange, context, ErrorKind.LEDGER_UNREACHABLE, other.detail());
        };
    }

    private RunResult runClaimed(HttpExchange exchange, OutboundCall outbound, RequestContext context, Claim claim)
            throws InterruptedException {
        recorder.record(context.requestId(), EventKind.CLAIMED, "The ledger granted the idempotency key.");
        boolean ended = false;
        try {
            ForwardResult result = forwarder.forward(outbound, context, new ReplayableBody(exchange));
            if (result.response().isLeft()) {
                ended = true;
                endFailedClaim(claim, result.response().getLeft());
                return respond(exchange, outbound, context, result, null);
            }
            IncomingResponse response = result.response().get();
            ended = true;
            if (response.isComplete()) {
                storeResponse(claim, context, response);
                return respond(exchange, outbound, context, result, null);
            }
            return respond(exchange, outbound, context, result, claim);
        } finally {
            if (!ended) {
                claim.markInDoubt();
            }
        }
    }

    private static void endFailedClaim(Claim claim, Failure failure) {
        if (failure.provesNotRun()) {
            claim.release();
        } else {
            claim.markInDoubt();
        }
    }

    private void storeResponse(Claim claim, RequestContext context, IncomingResponse response) {
        StoredResponse stored =
                StoredResponse.of(response.head().status(), response.head().headers(), response.bufferedBytes());
        if (!claim.complete(stored, CLAIM_COMPLETE_TIMEOUT_MS)) {
            recorder.record(
                    context.requestId(),
                    EventKind.FAILED,
                    "The response could not be stored by a majority of the ledger; a repeat will be refused with"
                            + " key_in_doubt.");
        }
    }

    private RunResult sendStoredResponse(HttpExchange exchange, RequestContext context, StoredResponse stored)
            throws InterruptedException {
        recorder.record(
                context.requestId(),
                EventKind.KEY_ANSWERED,
                "The request ran before under this idempotency key; its stored response was sent, and it did not run"
                        + " again.");
        List<HeaderField> headers = responseHeaders(context, stored.headers());
        exchange.respond(new BufferedResponse(stored.status(), headers, stored.body()));
        return new RunResult(stored.status(), null, 0);
    }

    private RunResult refuseForKey(HttpExchange exchange, RequestContext context, ErrorKind kind, String detail)
            throws InterruptedException {
        recorder.record(
                context.requestId(),
                EventKind.KEY_ANSWERED,
                "The request was not sent, because of its idempotency key: " + kind.code() + ". " + detail);
        return refuse(exchange, context, Failure.of(kind, detail), 0);
    }

    private RunResult respond(
            HttpExchange exchange,
            OutboundCall outbound,
            RequestContext context,
            ForwardResult result,
            @Nullable Claim claim)
            throws InterruptedException {
        if (result.response().isLeft()) {
            return refuse(exchange, context, result.response().getLeft(), result.attempts());
        }
        IncomingResponse response = result.response().get();
        context.recordStatus(response.head().status());
        List<HeaderField> headers = responseHeaders(context, response.head().headers());
        if (response.isComplete()) {
            if (exchange.method().equals("HEAD") && response.head().bodyBytes() >= 0) {
                headers.add(new HeaderField(
                        "Content-Length", Long.toString(response.head().bodyBytes())));
            }
            exchange.respond(new BufferedResponse(response.head().status(), headers, response.bufferedBytes()));
            return new RunResult(response.head().status(), null, result.attempts());
        }
        return stream(exchange, outbound, context, response, headers, result.attempts(), claim);
    }

    private RunResult stream(
            HttpExchange exchange,
            OutboundCall outbound,
            RequestContext context,
            IncomingResponse response,
            List<HeaderField> headers,
            int attempts,
            @Nullable Claim claim)
            throws InterruptedException {
        Failure streamFailure = streamBody(exchange, context, response, headers);
        forwarder.applyTrailer(outbound, context, response);
        if (claim != null) {
            if (streamFailure == null) {
                claim.complete(StoredResponse.tooLarge(response.head().status()), CLAIM_COMPLETE_TIMEOUT_MS);
            } else {
                claim.markInDoubt();
            }
        }
        if (streamFailure == null) {
            exchange.end();
            return new RunResult(response.head().status(), null, attempts);
        }
        Failure reported = context.cancellation().map(Cancellation::failure).orElse(streamFailure);
        recorder.record(
                context.requestId(),
                EventKind.FAILED,
                "The response was interrupted after its head was sent, and the caller's connection was closed: "
                        + reported.detail());
        exchange.abort();
        return new RunResult(response.head().status(), reported.kind(), attempts);
    }

    private @Nullable Failure streamBody(
            HttpExchange exchange, RequestContext context, IncomingResponse response, List<HeaderField> headers)
            throws InterruptedException {
        RemainingTime time = new RemainingTime(context, clock);
        boolean written = exchange.start(
                        response.head().status(), headers, response.head().bodyBytes())
                && exchange.write(response.bufferedBytes());
        while (written) {
            Either<Failure, Optional<byte[]>> part = response.call().readResponseBody(time.remainingMs());
            if (part.isLeft()) {
                return part.getLeft();
            }
            if (part.get().isEmpty()) {
                return null;
            }
            written = exchange.write(part.get().get());
        }
        response.call().cancel("the caller does not read");
        return Failure.of(ErrorKind.CALLER_GONE, "The caller does not read its response.");
    }

    /**
     * Records and sends a refusal. It is sent whatever ended the request; only the connection tells whether the caller
     * is still there, and drops the refusal if it is not.
     */
    RunResult refuse(HttpExchange exchange, RequestContext context, Failure failure, int attempts)
            throws InterruptedException {
        recorder.record(
                context.requestId(),
                failure.provesNotRun() ? EventKind.REFUSED : EventKind.FAILED,
                "The request ended with " + failure.kind().code() + " (outcome "
                        + failure.kind().outcome().headerValue() + "): " + failure.detail());
        context.recordStatus(failure.kind().status());
        exchange.respond(refusals.apply(failure)
                .plusHeader(REQUEST_ID_HEADER, context.requestId().toString()));
        return new RunResult(failure.kind().status(), failure.kind(), attempts);
    }

    private static List<HeaderField> responseHeaders(RequestContext context, List<HeaderField> received) {
        List<HeaderField> headers = new ArrayList<>(HeaderFields.endToEnd(received));
        headers.add(new HeaderField(OUTCOME_HEADER, Outcome.COMPLETED.headerValue()));
        headers.add(new HeaderField(REQUEST_ID_HEADER, context.requestId().toString()));
        return headers;
    }
}
