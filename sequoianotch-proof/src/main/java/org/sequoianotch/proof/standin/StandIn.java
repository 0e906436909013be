package org.sequoianotch.proof.standin;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.sequoianotch.daemon.http.BackendClient;
import org.sequoianotch.daemon.http.BackendConnection;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.daemon.http.HttpListener;
import org.sequoianotch.daemon.http.ListenerOptions;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.protocol.HeaderField;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.time.Clock;
import org.sequoianotch.time.SystemClock;

/**
 * A stand-in backend server that simulates work and downstream calls, and records which requests it executed.
 *
 * <p>It announces itself to the node on its host, holds a slot for the work time of each request and then calls other
 * services through its node. Requests beyond the number of slots wait, as in a server with a thread pool.
 *
 * <p>This class is thread-safe.
 */
public final class StandIn implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final long IDLE_TIMEOUT_MS = 600_000;
    private static final long DOWNSTREAM_TIMEOUT_MS = 60_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int CHUNK_BYTES = 16_384;
    private static final String BYTES_QUERY = "?bytes=";
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int BAD_GATEWAY = 502;

    private final StandInOptions options;
    private final Clock clock = SystemClock.INSTANCE;
    private final RandomGenerator random;
    private final BackendClient nodeClient;
    private final HttpListener listener;
    private final Semaphore slots;
    private final ExecutionLog executionLog = new ExecutionLog();
    private final Announcer announcer;
    private volatile InjectedFaults faults = InjectedFaults.NONE;

    /**
     * Starts the stand-in and announces it to its node.
     *
     * @param options the options; not null
     * @param eventLoops event loops of its connections; not null
     * @param random source of randomness for injected errors; not null, thread-safe
     * @throws InterruptedException if the thread is interrupted while binding
     */
    public StandIn(StandInOptions options, EventLoopGroup eventLoops, RandomGenerator random)
            throws InterruptedException {
        this.options = options;
        this.random = random;
        this.slots = new Semaphore(options.slots(), true);
        this.nodeClient = new BackendClient(options.nodeAddress(), eventLoops, CONNECT_TIMEOUT_MS, clock);
        ListenerOptions listenerOptions = new ListenerOptions(
                options.service().name(), options.listen(), MAX_HEADER_BYTES, MAX_CONNECTIONS, IDLE_TIMEOUT_MS);
        this.listener = HttpListener.bind(listenerOptions, eventLoops, this::handle);
        this.announcer =
                new Announcer(nodeClient, options.service(), listener.address().getPort(), options.slots());
        announcer.start();
    }

    /**
     * Returns the log of executed requests.
     *
     * @return the log, never null
     */
    public ExecutionLog executionLog() {
        return executionLog;
    }

    /**
     * Returns the address that the stand-in listens on.
     *
     * @return the bound address, never null
     */
    public InetSocketAddress address() {
        return listener.address();
    }

    /**
     * Returns the options.
     *
     * @return the options, never null
     */
    public StandInOptions options() {
        return options;
    }

    /**
     * Replaces the injected faults. Requests that have already started keep the earlier faults.
     *
     * @param newFaults the faults; not null
     */
    public void injectFaults(InjectedFaults newFaults) {
        faults = newFaults;
    }

    /**
     * Announces a new state to its node immediately, without waiting for the next lease renewal.
     *
     * @param state the state; not null
     * @throws InterruptedException if the thread is interrupted while announcing
     */
    public void announce(BackendState state) throws InterruptedException {
        announcer.announce(state);
    }

    /** Stops listening without draining, as in a crash. */
    @Override
    public void close() {
        announcer.stop();
        nodeClient.close();
        try {
            listener.stop(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpExchange exchange) throws InterruptedException {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        exchange.onClose(() -> cancelled.complete(null));
        int index = executionLog.begin(new Execution(
                exchange.header("traceparent").map(StandIn::traceId).orElse(""),
                exchange.header("idempotency-key").orElse(null),
                exchange.method(),
                exchange.uri(),
                0,
                clock.monotonicMs(),
                0,
                Execution.Result.RUNNING));
        long[] bodyBytes = new long[1];
        double[] slotHeldMs = new double[1];
        Execution.Result result = Execution.Result.CANCELLED;
        try {
            result = serve(exchange, cancelled, bodyBytes, slotHeldMs);
        } finally {
            executionLog.end(index, result, slotHeldMs[0], bodyBytes[0]);
            if (result == Execution.Result.CANCELLED) {
                exchange.abort();
            }
        }
    }

    private static String traceId(String traceParent) {
        String[] parts = traceParent.split("-");
        return parts.length > 1 ? parts[1] : "";
    }

    private Execution.Result serve(
            HttpExchange exchange, CompletableFuture<Void> cancelled, long[] bodyBytes, double[] slotHeldMs)
            throws InterruptedException {
        InjectedFaults activeFaults = faults;
        while (true) {
            Either<Failure, Optional<byte[]>> part = exchange.readBody();
            if (part.isLeft()) {
                return Execution.Result.CANCELLED;
            }
            if (part.get().isEmpty()) {
                break;
            }
            bodyBytes[0] += part.get().get().length;
        }
        if (activeFaults.errorFraction() > 0 && random.nextDouble() < activeFaults.errorFraction()) {
            exchange.respond(BufferedResponse.ofText(SERVER_ERROR, "text/plain", "injected error\n"));
            return Execution.Result.FAILED;
        }
        if (!simulateWork(activeFaults, cancelled, slotHeldMs)) {
            return Execution.Result.CANCELLED;
        }
        Optional<String> error = sendDownstreamCalls(exchange, cancelled);
        if (cancelled.isDone()) {
            return Execution.Result.CANCELLED;
        }
        if (error.isPresent()) {
            exchange.respond(BufferedResponse.ofText(BAD_GATEWAY, "text/plain", error.get() + "\n"));
            return Execution.Result.FAILED;
        }
        return respond(exchange, activeFaults, bodyBytes[0]);
    }

    private boolean simulateWork(InjectedFaults activeFaults, CompletableFuture<Void> cancelled, double[] slotHeldMs)
            throws InterruptedException {
        slots.acquire();
        double startedAtMs = clock.monotonicMs();
        try {
            if (activeFaults.hang()) {
                return !awaitCancellation(cancelled, Long.MAX_VALUE / 2);
            }
            long workUs = (long) (options.workMs() * activeFaults.slowFactor() * 1_000);
            return workUs == 0 ? !cancelled.isDone() : !awaitCancellation(cancelled, workUs);
        } finally {
            slots.release();
            slotHeldMs[0] = clock.monotonicMs() - startedAtMs;
        }
    }

    private static boolean awaitCancellation(CompletableFuture<Void> cancelled, long timeoutUs)
            throws InterruptedException {
        try {
            cancelled.get(timeoutUs, TimeUnit.MICROSECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private Optional<String> sendDownstreamCalls(HttpExchange exchange, CompletableFuture<Void> cancelled)
            throws InterruptedException {
        for (DownstreamCall call : options.downstreamCalls()) {
            if (!exchange.uri().startsWith(call.pathPrefix())) {
                continue;
            }
            for (int i = 0; i < call.count() && !cancelled.isDone(); i++) {
                Optional<String> error = sendDownstreamCall(exchange, call, cancelled);
                if (error.isPresent()) {
                    return error;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<String> sendDownstreamCall(
            HttpExchange exchange, DownstreamCall call, CompletableFuture<Void> cancelled) throws InterruptedException {
        Either<Failure, BackendConnection> connected = nodeClient.connect();
        if (connected.isLeft()) {
            return Optional.of(
                    "connection to the node failed: " + connected.getLeft().detail());
        }
        executionLog.countDownstreamCall();
        BackendConnection connection = connected.get();
        cancelled.thenRun(connection::close);
        List<HeaderField> headers = new ArrayList<>();
        exchange.header("traceparent").ifPresent(value -> headers.add(new HeaderField("traceparent", value)));
        exchange.header("idempotency-key").ifPresent(value -> headers.add(new HeaderField("Idempotency-Key", value)));
        if (!connection.start(call.method(), call.target(), headers, 0, DOWNSTREAM_TIMEOUT_MS)) {
            return Optional.of("the node closed the connection before the call to a downstream service was sent");
        }
        Either<Failure, ResponseHeader> head = connection.awaitResponse(DOWNSTREAM_TIMEOUT_MS);
        if (head.isLeft()) {
            connection.close();
            return Optional.of(call.target() + " failed: " + head.getLeft().detail());
        }
        while (true) {
            Either<Failure, Optional<byte[]>> part = connection.readResponseBody(DOWNSTREAM_TIMEOUT_MS);
            if (part.isLeft()) {
                connection.close();
                return Optional.of(call.target() + " response body incomplete: "
                        + part.getLeft().detail());
            }
            if (part.get().isEmpty()) {
                break;
            }
        }
        connection.release();
        int status = head.get().status();
        return status >= SERVER_ERROR ? Optional.of(call.target() + " returned status " + status) : Optional.empty();
    }

    private Execution.Result respond(HttpExchange exchange, InjectedFaults activeFaults, long bodyBytes)
            throws InterruptedException {
        String text = options.service() + " " + exchange.method() + " " + exchange.uri() + " body " + bodyBytes
                + " bytes, request "
                + exchange.header("traceparent").map(StandIn::traceId).orElse("none") + "\n";
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        if (activeFaults.truncateResponses()) {
            exchange.start(OK, List.of(new HeaderField("Content-Type", "text/plain")), body.length * 2L);
            exchange.write(body);
            exchange.abort();
            return Execution.Result.COMPLETED;
        }
        long requestedBytes = requestedBytes(exchange.uri());
        if (requestedBytes > body.length) {
            return streamResponse(exchange, body, requestedBytes);
        }
        exchange.respond(new BufferedResponse(OK, List.of(new HeaderField("Content-Type", "text/plain")), body));
        return Execution.Result.COMPLETED;
    }

    /** Returns the response length that a query {@code ?bytes=N} asks for, in bytes; 0 if there is none. */
    private static long requestedBytes(String uri) {
        int query = uri.indexOf(BYTES_QUERY);
        return query < 0 ? 0 : Long.parseLong(uri.substring(query + BYTES_QUERY.length()));
    }

    private static Execution.Result streamResponse(HttpExchange exchange, byte[] start, long requestedBytes)
            throws InterruptedException {
        boolean writable = exchange.start(OK, List.of(new HeaderField("Content-Type", "text/plain")), requestedBytes)
                && exchange.write(start);
        long remainingBytes = requestedBytes - start.length;
        while (writable && remainingBytes > 0) {
            int chunkBytes = (int) Math.min(CHUNK_BYTES, remainingBytes);
            writable = exchange.write(new byte[chunkBytes]);
            remainingBytes -= chunkBytes;
        }
        if (!writable) {
            return Execution.Result.CANCELLED;
        }
        exchange.end();
        return Execution.Result.COMPLETED;
    }
}
