package org.sequoianotch.ctl;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** HTTP client for the admin listener of one node. This class is thread-safe. */
final class AdminClient implements AutoCloseable {
    private final HttpClient client;
    private final String node;
    private final String key;
    private final long timeoutMs;

    AdminClient(String node, String key, long timeoutMs) {
        this.node = node;
        this.key = key;
        this.timeoutMs = timeoutMs;
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(timeoutMs))
                .build();
    }

    /**
     * A request without a response.
     *
     * @param message reason as a sentence for the operator; not null
     * @param maybeReceived true if the node may have received the request
     */
    record NoResponse(String message, boolean maybeReceived) {}

    /** Sends a GET request. */
    Either<NoResponse, AdminResponse> get(String target) throws InterruptedException {
        return send("GET", target, HttpRequest.BodyPublishers.noBody(), 0);
    }

    /** Sends a PUT request; {@code extraMs} is added to the response timeout. */
    Either<NoResponse, AdminResponse> put(String target, String text, long extraMs) throws InterruptedException {
        return send("PUT", target, HttpRequest.BodyPublishers.ofString(text, StandardCharsets.UTF_8), extraMs);
    }

    private Either<NoResponse, AdminResponse> send(
            String method, String target, HttpRequest.BodyPublisher body, long extraMs) throws InterruptedException {
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + node + target))
                    .timeout(Duration.ofMillis(timeoutMs + extraMs))
                    .method(method, body);
            if (!key.isEmpty()) {
                request.header("Authorization", "Bearer " + key);
            }
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
            return Either.right(new AdminResponse(response.statusCode(), response.body()));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return Either.left(new NoResponse("Node " + node + " is not reachable: " + e + ".", false));
        } catch (IOException e) {
            return Either.left(new NoResponse("Node " + node + " did not respond: " + e + ".", true));
        }
    }

    @Override
    public void close() {
        client.shutdownNow();
    }
}
