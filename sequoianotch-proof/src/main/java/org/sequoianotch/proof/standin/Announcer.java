package org.sequoianotch.proof.standin;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.sequoianotch.daemon.http.BackendClient;
import org.sequoianotch.daemon.http.BackendConnection;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.protocol.HeaderField;

/**
 * Announces a stand-in backend server to the node on its host and renews the lease at a fixed interval.
 *
 * <p>This class is thread-safe.
 */
final class Announcer {
    private static final long RENEWAL_INTERVAL_MS = 500;
    private static final long REQUEST_TIMEOUT_MS = 2_000;

    private final BackendClient nodeClient;
    private final ServiceName service;
    private final int port;
    private final int slots;
    private final Thread thread;
    private volatile BackendState state = BackendState.SERVING;

    Announcer(BackendClient nodeClient, ServiceName service, int port, int slots) {
        this.nodeClient = nodeClient;
        this.service = service;
        this.port = port;
        this.slots = slots;
        this.thread = Thread.ofVirtual().name("announcer-" + service).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    void stop() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                announce(state);
                Thread.sleep(RENEWAL_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one announcement and sets the state that later renewals carry; returns whether the node accepted it. */
    boolean announce(BackendState newState) throws InterruptedException {
        state = newState;
        Either<Failure, BackendConnection> connected = nodeClient.connect();
        if (connected.isLeft()) {
            return false;
        }
        BackendConnection connection = connected.get();
        String json = "{\"service\":\"" + service + "\",\"port\":" + port + ",\"slots\":" + slots + ",\"state\":\""
                + newState.code() + "\"}";
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        boolean accepted = connection.start(
                        "PUT",
                        "/v1/announce",
                        List.of(new HeaderField("Content-Type", "application/json")),
                        body.length,
                        REQUEST_TIMEOUT_MS)
                && connection.write(body, REQUEST_TIMEOUT_MS)
                && connection.end(REQUEST_TIMEOUT_MS)
                && readResponse(connection);
        if (accepted) {
            connection.release();
        } else {
            connection.close();
        }
        return accepted;
    }

    private static boolean readResponse(BackendConnection connection) throws InterruptedException {
        boolean accepted = connection
                .awaitResponse(REQUEST_TIMEOUT_MS)
                .map(head -> head.status() == 200)
                .getOrElse(false);
        Either<Failure, Optional<byte[]>> part = connection.readResponseBody(REQUEST_TIMEOUT_MS);
        while (part.isRight() && part.get().isPresent()) {
            part = connection.readResponseBody(REQUEST_TIMEOUT_MS);
        }
        return accepted && part.isRight();
    }
}
