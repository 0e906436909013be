package org.sequoianotch.daemon.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.http.ProblemResponse;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.retry.RetryAllowance;
import org.sequoianotch.time.Clock;

/**
 * Handles requests of the backend server on this host: its announcements, and sub-calls, which run in the context of
 * the call that the backend server is serving.
 *
 * <p>This class is thread-safe.
 */
final class BackendHandler implements HttpHandler {
    private static final String ANNOUNCE_PATH = "/v1/announce";
    private static final int MAX_ANNOUNCEMENT_BYTES = 4_096;
    private static final int OK = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final CallResolver callResolver;
    private final RequestRunner runner;
    private final ContextRegistry contexts;
    private final LocalInstances instances;
    private final Clock clock;

    BackendHandler(
            CallResolver callResolver,
            RequestRunner runner,
            ContextRegistry contexts,
            LocalInstances instances,
            Clock clock) {
        this.callResolver = callResolver;
        this.runner = runner;
        this.contexts = contexts;
        this.instances = instances;
        this.clock = clock;
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException {
        if (exchange.uri().equals(ANNOUNCE_PATH) && exchange.method().equals("PUT")) {
            announce(exchange);
            return;
        }
        Either<Failure, OutboundCall> resolved = callResolver.resolve(exchange);
        Either<Failure, Long> timeoutMs = resolved.flatMap(
                call -> CallResolver.timeoutMs(exchange, call.route().deadlineMs()));
        if (timeoutMs.isLeft()) {
            exchange.respond(ProblemResponse.of(timeoutMs.getLeft()));
            return;
        }
        run(exchange, resolved.get(), timeoutMs.get());
    }

    private void run(HttpExchange exchange, OutboundCall outbound, long timeoutMs) throws InterruptedException {
        Optional<RequestContext> parent =
                exchange.header(TraceParent.HEADER).flatMap(TraceParent::parse).flatMap(contexts::find);
        double ownDeadlineMs = clock.monotonicMs() + timeoutMs;
        RequestContext context = parent.map(call -> call.newSubCall(ownDeadlineMs))
                .orElseGet(() -> newOrphanContext(exchange, ownDeadlineMs));
        context.cancelWhenClosed(exchange);
        try {
            runner.runGuarded(exchange, outbound, context);
        } finally {
            context.detach();
        }
    }

    /** Creates the context of a sub-call whose parent call is not open on this host. */
    private static RequestContext newOrphanContext(HttpExchange exchange, double deadlineAtMs) {
        RequestId requestId = exchange.header(TraceParent.HEADER)
                .flatMap(TraceParent::parse)
                .orElseGet(() -> RequestId.random(ThreadLocalRandom.current()));
        return new RequestContext(
                requestId, Criticality.SHEDDABLE, 1, deadlineAtMs, Double.POSITIVE_INFINITY, RetryAllowance.of(0));
    }

    private void announce(HttpExchange exchange) throws InterruptedException {
        Either<Failure, Announcement> announcement =
                exchange.readWholeBody(MAX_ANNOUNCEMENT_BYTES).flatMap(BackendHandler::parse);
        if (announcement.isLeft()) {
            exchange.respond(ProblemResponse.of(announcement.getLeft()));
            return;
        }
        long leaseMs = instances.announce(announcement.get());
        exchange.respond(BufferedResponse.ofText(OK, "application/json", "{\"lease_ms\":" + leaseMs + "}"));
    }

    private static Either<Failure, Announcement> parse(byte[] body) {
        try {
            JsonNode json = JSON.readTree(body);
            String stateText = json.path("state").asText("");
            Optional<BackendState> state = BackendState.ofCode(stateText);
            if (state.isEmpty()) {
                return malformed("state is \"" + stateText + "\", but must be starting, serving or draining");
            }
            ServiceName service = ServiceName.of(json.path("service").asText(""));
            int port = json.path("port").asInt(0);
            int slots = json.path("slots").asInt(0);
            return Either.right(new Announcement(service, port, slots, state.get()));
        } catch (JsonProcessingException e) {
            return malformed("the body is not JSON");
        } catch (IOException | IllegalArgumentException e) {
            return malformed(String.valueOf(e.getMessage()));
        }
    }

    private static Either<Failure, Announcement> malformed(String reason) {
        return Either.left(Failure.of(ErrorKind.BAD_REQUEST, "The announcement is not accepted: " + reason + "."));
    }
}
