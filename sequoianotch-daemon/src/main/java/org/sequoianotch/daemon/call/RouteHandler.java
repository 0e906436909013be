package org.sequoianotch.daemon.call;

import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoianotch.daemon.explain.EventKind;
import org.sequoianotch.daemon.explain.Journal;
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
 * Serves requests whose authority and path select a route of the table in force.
 *
 * <p>This class is thread-safe.
 */
final class RouteHandler implements HttpHandler {
    private final Supplier<RouteTable> tables;
    private final RouteLimits limits;
    private final CallerDialect dialect;
    private final RequestRunner runner;
    private final ContextRegistry contexts;
    private final Journal journal;
    private final Clock clock;
    private final Timer timer;
    private final RandomGenerator random;

    RouteHandler(
            Supplier<RouteTable> tables,
            RouteLimits limits,
            CallerDialect dialect,
            RequestRunner runner,
            ContextRegistry contexts,
            Journal journal,
            Clock clock,
            Timer timer,
            RandomGenerator random) {
        this.tables = tables;
        this.limits = limits;
        this.dialect = dialect;
        this.runner = runner;
        this.contexts = contexts;
        this.journal = journal;
        this.clock = clock;
        this.timer = timer;
        this.random = random;
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException {
        RouteTable table = tables.get();
        Either<Failure, CallerTerms> terms = dialect.read(exchange);
        if (terms.isLeft()) {
            exchange.respond(dialect.refusal(terms.getLeft()));
            return;
        }
        Either<Failure, Route> route = check(exchange, table, terms.get());
        if (route.isLeft()) {
            refuseEarly(exchange, terms.get(), route.getLeft());
            return;
        }
        run(exchange, table, terms.get(), route.get());
    }

    private static Either<Failure, Route> check(HttpExchange exchange, RouteTable table, CallerTerms terms) {
        if (table.revision() == 0) {
            return Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "No revision of the routes is known yet."));
        }
        Optional<Route> route = table.find(terms.authority(), exchange.uri());
        if (route.isEmpty()) {
            return Either.left(Failure.of(
                    ErrorKind.UNKNOWN_SERVICE,
                    "Revision " + table.revision() + " has no route for " + terms.authority() + exchange.uri() + "."));
        }
        if (exchange.bodyBytes() > table.limits().maxBodyBytes()) {
            return Either.left(Failure.of(
                    ErrorKind.BODY_TOO_LARGE,
                    "The body has " + exchange.bodyBytes() + " bytes; allowed are "
                            + table.limits().maxBodyBytes() + "."));
        }
        return Either.right(route.get());
    }

    private void refuseEarly(HttpExchange exchange, CallerTerms terms, Failure failure) throws InterruptedException {
        journal.record(
                terms.requestId(),
                EventKind.REFUSED,
                "Refused with " + failure.kind().code() + ": " + failure.detail());
        exchange.respond(dialect.refusal(failure));
    }

    private void run(HttpExchange exchange, RouteTable table, CallerTerms terms, Route route)
            throws InterruptedException {
        double startedAtMs = clock.monotonicMs();
        long timeoutMs = Math.min(terms.timeLeftMs(), route.timeoutMs());
        OutboundCall outbound = limits.outbound(exchange, table, terms, route, route.chooseTarget(random));
        RequestContext context = newContext(outbound, terms, startedAtMs + timeoutMs);
        Timeout deadline = timer.newTimeout(
                timeout -> context.cancel(
                        Failure.of(ErrorKind.DEADLINE_IN_DOUBT, "The time limit of " + timeoutMs + " ms passed.")),
                timeoutMs,
                TimeUnit.MILLISECONDS);
        exchange.onClose(() -> context.cancel(Failure.of(ErrorKind.CALLER_GONE, "The caller closed its connection.")));
        RunResult result = runner.runGuarded(exchange, outbound, context);
        deadline.cancel();
        context.detach();
        journal.finish(new RequestSummary(
                terms.requestId(),
                outbound.route(),
                table.revision(),
                result.status(),
                result.errorKind(),
                clock.monotonicMs() - startedAtMs,
                result.attempts()));
    }

    /** A request of the instance on this host belongs to the call for which the instance makes it. */
    private RequestContext newContext(OutboundCall outbound, CallerTerms terms, double deadlineAtMs) {
        RetryAllowance allowance = RetryAllowance.of(outbound.route().retryAllowance());
        return terms.parent()
                .flatMap(contexts::find)
                .map(call -> call.subRequest(terms.requestId(), deadlineAtMs, allowance))
                .orElseGet(() -> new RequestContext(
                        terms.requestId(), outbound.route().criticality(), 0, deadlineAtMs, allowance));
    }
}
