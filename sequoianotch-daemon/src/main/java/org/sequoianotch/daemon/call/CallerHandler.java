package org.sequoianotch.daemon.call;

import io.netty.util.Timeout;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.explain.RequestSummary;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.http.ProblemResponse;
import org.sequoianotch.daemon.ledger.IdempotencyKey;
import org.sequoianotch.daemon.ledger.Ledger;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.time.Clock;

/**
 * Handles requests of callers: creates a context for each of them and runs it. Also mints idempotency keys.
 *
 * <p>This class is thread-safe.
 */
final class CallerHandler implements HttpHandler {
    private static final String KEYS_PATH = "/v1/keys";
    private static final int CREATED = 201;

    private final CallResolver callResolver;
    private final RequestRunner runner;
    private final Ledger ledger;
    private final CallPath.Dependencies dependencies;
    private final RequestRecorder recorder;
    private final Clock clock;

    CallerHandler(CallResolver callResolver, RequestRunner runner, Ledger ledger, CallPath.Dependencies dependencies) {
        this.callResolver = callResolver;
        this.runner = runner;
        this.ledger = ledger;
        this.dependencies = dependencies;
        this.recorder = dependencies.recorder();
        this.clock = dependencies.clock();
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException {
        if (exchange.uri().equals(KEYS_PATH) && exchange.method().equals("POST")) {
            exchange.respond(newKey());
            return;
        }
        RequestId requestId = RequestId.random(dependencies.random());
        Either<Failure, OutboundCall> resolved = callResolver.resolve(exchange);
        Either<Failure, Long> timeoutMs = resolved.flatMap(
                call -> CallResolver.timeoutMs(exchange, call.route().deadlineMs()));
        if (timeoutMs.isLeft()) {
            refuseEarly(exchange, requestId, timeoutMs.getLeft());
            return;
        }
        OutboundCall outbound = resolved.get();
        if (outbound.route().repeat().needsKey() && outbound.keyText().isEmpty()) {
            String detail = "The route \"" + outbound.route().label()
                    + "\" runs at most once for each key, but the request has no Idempotency-Key header.";
            refuseEarly(exchange, requestId, Failure.of(ErrorKind.KEY_REQUIRED, detail));
            return;
        }
        run(exchange, outbound, requestId, timeoutMs.get());
    }

    private BufferedResponse newKey() {
        IdempotencyKey key = IdempotencyKey.mint(
                dependencies.homeOfNewKeys(), dependencies.ledgerEpoch(), clock.nowMs(), dependencies.random());
        return ledger.wouldGrant(key)
                ? BufferedResponse.ofLine(CREATED, key.text())
                : ProblemResponse.of(Failure.of(
                        ErrorKind.LEDGER_NOT_READY, "The ledger of " + key.home() + " did not grant a new key."));
    }

    private void refuseEarly(HttpExchange exchange, RequestId requestId, Failure failure) throws InterruptedException {
        recorder.record(
                requestId, EventKind.REFUSED, "Refused with " + failure.kind().code() + ": " + failure.detail());
        exchange.respond(ProblemResponse.of(failure).plusHeader(RequestRunner.REQUEST_ID_HEADER, requestId.toString()));
    }

    private void run(HttpExchange exchange, OutboundCall outbound, RequestId requestId, long timeoutMs)
            throws InterruptedException {
        double startedAtMs = clock.monotonicMs();
        RequestContext context = new RequestContext(
                requestId,
                outbound.route().criticality(),
                0,
                startedAtMs + timeoutMs,
                Double.POSITIVE_INFINITY,
                RetryAllowance.of(outbound.route().retryAllowance()));
        recorder.record(
                requestId,
                EventKind.RECEIVED,
                String.format(
                        "Received %s /%s%s as %s by %s, with %d ms and %d retries.",
                        outbound.method(),
                        outbound.service(),
                        outbound.path(),
                        context.criticality().code(),
                        outbound.ruleLabel(),
                        timeoutMs,
                        outbound.route().retryAllowance()));
        Timeout deadline = dependencies
                .timer()
                .newTimeout(
                        timeout -> context.cancel(new Cancellation(
                                CancelCause.TIME_LIMIT_PASSED, "The deadline of " + timeoutMs + " ms passed.")),
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
        context.cancelWhenClosed(exchange);
        RunResult result = runner.runGuarded(exchange, outbound, context);
        deadline.cancel();
        recorder.recordEnd(new RequestSummary(
                requestId,
                outbound.route(),
                outbound.revision(),
                result.status(),
                result.errorKind(),
                clock.monotonicMs() - startedAtMs,
                result.attempts()));
    }
}
