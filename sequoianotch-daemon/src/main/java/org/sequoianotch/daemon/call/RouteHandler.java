package org.sequoianotch.daemon.call;

import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.explain.RequestSummary;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.route.Route;
import org.sequoianotch.route.RouteTable;
import org.sequoianotch.time.Clock;

/**
 * Handles requests whose authority and path select a route of the route table in force.
 *
 * <p>This class is thread-safe.
 */
final class RouteHandler implements HttpHandler {
    private final Supplier<RouteTable> tables;
    private final RouteLimits limits;
    private final CallerHeaderCodec headerCodec;
    private final RequestRunner runner;
    private final ContextRegistry contexts;
    private final RequestRecorder recorder;
    private final Clock clock;
    private final Timer timer;
    private final RandomGenerator random;
    private final Set<RequestContext> openRequests = ConcurrentHashMap.newKeySet();
    /** Time on the monotonic clock at which this node stops to serve requests; infinite until it is being stopped. */
    private volatile double stopsAtMs = Double.POSITIVE_INFINITY;

    RouteHandler(
            Supplier<RouteTable> tables,
            RouteLimits limits,
            CallerHeaderCodec headerCodec,
            RequestRunner runner,
            ContextRegistry contexts,
            RequestRecorder recorder,
            Clock clock,
            Timer timer,
            RandomGenerator random) {
        this.tables = tables;
        this.limits = limits;
        this.headerCodec = headerCodec;
        this.runner = runner;
        this.contexts = contexts;
        this.recorder = recorder;
        this.clock = clock;
        this.timer = timer;
        this.random = random;
    }

    /** Refuses from now on the requests of callers whose time limit is later than the end of this node. */
    void stopAt(double newStopsAtMs) {
        stopsAtMs = newStopsAtMs;
    }

    /** Ends the open requests, so that their callers get a response. */
    void cancelOpenRequests(Cancellation cancellation) {
        openRequests.forEach(context -> context.cancel(cancellation));
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException {
        RouteTable table = tables.get();
        Either<Failure, CallerRequestInfo> info = headerCodec.readRequest(exchange);
        if (info.isLeft()) {
            exchange.respond(headerCodec.refusal(info.getLeft()));
            return;
        }
        Either<Failure, Route> route = findRoute(exchange, table, info.get());
        if (route.isLeft()) {
            refuseEarly(exchange, info.get(), route.getLeft());
            return;
        }
        run(exchange, table, info.get(), route.get());
    }

    private static Either<Failure, Route> findRoute(HttpExchange exchange, RouteTable table, CallerRequestInfo info) {
        if (table.revision() == 0) {
            return Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "No revision of the route table is known yet."));
        }
        Optional<Route> route = table.find(info.authority(), exchange.uri());
        if (route.isEmpty()) {
            return Either.left(Failure.of(
                    ErrorKind.UNKNOWN_SERVICE,
                    "Revision " + table.revision() + " has no route for " + info.authority() + exchange.uri() + "."));
        }
        if (exchange.bodyBytes() > table.limits().maxBodyBytes()) {
            return Either.left(Failure.of(
                    ErrorKind.BODY_TOO_LARGE,
                    "The body has " + exchange.bodyBytes() + " bytes, but at most "
                            + table.limits().maxBodyBytes() + " are allowed."));
        }
        return Either.right(route.get());
    }

    private void refuseEarly(HttpExchange exchange, CallerRequestInfo info, Failure failure)
            throws InterruptedException {
        recorder.record(
                info.requestId(),
                EventKind.REFUSED,
                "Refused with " + failure.kind().code() + ": " + failure.detail());
        exchange.respond(headerCodec.refusal(failure));
    }

    private void run(HttpExchange exchange, RouteTable table, CallerRequestInfo info, Route route)
            throws InterruptedException {
        double startedAtMs = clock.monotonicMs();
        long timeoutMs = Math.min(info.timeLeftMs(), route.timeoutMs());
        if (info.parent().isEmpty() && startedAtMs + timeoutMs > stopsAtMs) {
            // The calls of the instance belong to requests that end within their own time limit.
            refuseEarly(
                    exchange,
                    info,
                    Failure.of(
                            ErrorKind.DRAINING,
                            "The node is being stopped before the time limit of " + timeoutMs + " ms."));
            return;
        }
        OutboundCall outbound = limits.outbound(exchange, table, info, route, route.chooseTarget(random));
        RequestContext context =
                newContext(outbound, info, startedAtMs + timeoutMs, startedAtMs + route.targetLatencyMs());
        Timeout deadline = timer.newTimeout(
                timeout -> context.cancel(new Cancellation(
                        CancelCause.TIME_LIMIT_PASSED, "The time limit of " + timeoutMs + " ms passed.")),
                timeoutMs,
                TimeUnit.MILLISECONDS);
        context.cancelWhenClosed(exchange);
        openRequests.add(context);
        RunResult result;
        try {
            result = runner.runGuarded(exchange, outbound, context);
        } finally {
            openRequests.remove(context);
        }
        deadline.cancel();
        context.detach();
        recorder.recordEnd(new RequestSummary(
                info.requestId(),
                outbound.route(),
                table.revision(),
                result.status(),
                result.errorKind(),
                clock.monotonicMs() - startedAtMs,
                result.attempts()));
    }

    /** A request of the instance on this host runs in the context of the call that the instance is serving. */
    private RequestContext newContext(
            OutboundCall outbound, CallerRequestInfo info, double deadlineAtMs, double targetAtMs) {
        RetryAllowance allowance = RetryAllowance.of(outbound.route().retryAllowance());
        return info.parent()
                .flatMap(contexts::find)
                .map(call -> call.newSubRequest(info.requestId(), deadlineAtMs, allowance))
                .orElseGet(() -> new RequestContext(
                        info.requestId(), outbound.route().criticality(), 0, deadlineAtMs, targetAtMs, allowance));
    }
}
