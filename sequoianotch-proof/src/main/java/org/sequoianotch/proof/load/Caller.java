package org.sequoianotch.proof.load;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sequoianotch.daemon.http.BackendClient;
import org.sequoianotch.daemon.http.BackendConnection;
import org.sequoianotch.daemon.http.HeaderFields;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.time.Clock;
import org.sequoianotch.time.SystemClock;

/**
 * HTTP client for one address that sends single calls and waits for the complete response.
 *
 * <p>Connections are kept open between calls. Of each response body, only the first 4096 bytes are kept.
 *
 * <p>This class is thread-safe.
 */
public final class Caller implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int MAX_BODY_BYTES = 4_096;

    private final Clock clock = SystemClock.INSTANCE;
    private final BackendClient client;

    /**
     * Creates a client without connections.
     *
     * @param address address to call; not null
     * @param eventLoops event loops of the connections; not null
     */
    public Caller(InetSocketAddress address, EventLoopGroup eventLoops) {
        client = new BackendClient(address, eventLoops, CONNECT_TIMEOUT_MS, clock);
    }

    /**
     * Sends one call.
     *
     * @param call the call; not null
     * @param key the idempotency key, used if the call is keyed; not null
     * @param scheduledAtMs time on the monotonic clock from which the latency is measured, in milliseconds
     * @param timeoutMs time limit for the call, in milliseconds; positive
     * @return the result of the call, never null; its status is 0 if no complete response arrived in time
     * @throws InterruptedException if the thread is interrupted while waiting for the response
     */
    public CallOutcome send(CallTemplate call, String key, double scheduledAtMs, long timeoutMs)
            throws InterruptedException {
        double endAtMs = clock.monotonicMs() + timeoutMs;
        Either<Failure, BackendConnection> connected = client.connect();
        if (connected.isLeft()) {
            return noResponse(scheduledAtMs);
        }
        BackendConnection connection = connected.get();
        boolean sent = connection.start(call.method(), call.path(), call.headers(key), call.body().length, timeoutMs);
        if (sent && call.body().length > 0) {
            sent = connection.write(call.body(), timeoutMs) && connection.end(timeoutMs);
        }
        Either<Failure, ResponseHeader> head = connection.awaitResponse(remainingMs(endAtMs));
        if (head.isLeft()) {
            connection.close();
            return noResponse(scheduledAtMs);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            Either<Failure, Optional<byte[]>> part = connection.readResponseBody(remainingMs(endAtMs));
            if (part.isLeft()) {
                connection.close();
                return noResponse(scheduledAtMs);
            }
            if (part.get().isEmpty()) {
                break;
            }
            if (body.size() < MAX_BODY_BYTES) {
                body.writeBytes(part.get().get());
            }
        }
        connection.release();
        return new CallOutcome(
                head.get().status(),
                HeaderFields.first(head.get().headers(), "sequoianotch-outcome").orElse(""),
                HeaderFields.first(head.get().headers(), "sequoianotch-request-id")
                        .orElse(""),
                body.toString(StandardCharsets.UTF_8),
                clock.monotonicMs() - scheduledAtMs);
    }

    private long remainingMs(double endAtMs) {
        return (long) Math.max(1, endAtMs - clock.monotonicMs());
    }

    private CallOutcome noResponse(double scheduledAtMs) {
        return new CallOutcome(0, "", "", "", clock.monotonicMs() - scheduledAtMs);
    }

    @Override
    public void close() {
        client.close();
    }
}
