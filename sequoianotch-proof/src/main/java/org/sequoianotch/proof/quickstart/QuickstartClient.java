package org.sequoianotch.proof.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * Sends the requests of the quickstart example to a node and prints each response with the node's explanation.
 *
 * <p>The requests are a lookup, a booking, the same booking again and a photo upload. One thread uses this class.
 */
public final class QuickstartClient {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final long READY_POLL_INTERVAL_MS = 200;
    private static final int PHOTO_BYTES = 1_048_576;
    private static final int OK = 200;
    private static final int CREATED = 201;
    /** Operator key in the settings that bin/quickstart writes for the nodes. */
    private static final String OPERATOR_KEY = "quickstart-operator-key";

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CALL_TIMEOUT)
            .build();
    private final String callerAddress;
    private final String adminAddress;
    private boolean allCompleted = true;

    private QuickstartClient(String callerAddress, String adminAddress) {
        this.callerAddress = callerAddress;
        this.adminAddress = adminAddress;
    }

    /**
     * Sends the requests; exits with 0 if all of them returned status 200, and with 1 otherwise.
     *
     * @param arguments addresses of a node's caller listener and of its admin listener; not null
     * @throws IOException if the node cannot be reached
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        QuickstartClient quickstart = new QuickstartClient(arguments[0], arguments[1]);
        quickstart.awaitReady();
        quickstart.run();
        System.exit(quickstart.allCompleted ? 0 : 1);
    }

    private void run() throws IOException, InterruptedException {
        send("Lookup, three calls deep", request("/specdesk/doors/7").GET());
        String key = mintKey();
        send("Booking", booking(key));
        send("The same booking again, with the same key", booking(key));
        send(
                "Photo upload of " + PHOTO_BYTES + " bytes",
                request("/sitephotos/photos/1").PUT(HttpRequest.BodyPublishers.ofByteArray(new byte[PHOTO_BYTES])));
    }

    /** Requests a key until the node provides one, because the ledger hosts form their group only after the start. */
    private String mintKey() throws IOException, InterruptedException {
        long endNs = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            HttpResponse<String> response = client.send(
                    request("/v1/keys")
                            .POST(HttpRequest.BodyPublishers.noBody())
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() == CREATED) {
                return response.body().trim();
            }
            Thread.sleep(READY_POLL_INTERVAL_MS);
        }
        throw new IllegalStateException(
                "POST /v1/keys at " + callerAddress + " returned no key within " + READY_TIMEOUT.toSeconds() + " s");
    }

    private HttpRequest.Builder booking(String key) {
        return request("/jobbook/bookings")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"door\":7}"));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + callerAddress + path))
                .timeout(CALL_TIMEOUT);
    }

    private void send(String description, HttpRequest.Builder request) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        System.out.println(description + ":");
        System.out.println("  status " + response.statusCode() + ", outcome "
                + response.headers().firstValue("Sequoianotch-Outcome").orElse("missing") + ", request "
                + response.headers().firstValue("Sequoianotch-Request-Id").orElse("missing"));
        System.out.println("  " + response.body().trim());
        System.out.println("  Explained by the node:");
        HttpRequest explain = HttpRequest.newBuilder(URI.create("http://" + adminAddress + "/v1/explain/"
                        + response.headers()
                                .firstValue("Sequoianotch-Request-Id")
                                .orElse("missing")))
                .header("Authorization", "Bearer " + OPERATOR_KEY)
                .timeout(CALL_TIMEOUT)
                .build();
        JsonNode explanation = new ObjectMapper()
                .readTree(client.send(explain, HttpResponse.BodyHandlers.ofString())
                        .body());
        explanation.path("text").forEach(line -> System.out.println("    " + line.asText()));
        allCompleted &= response.statusCode() == OK;
    }

    /**
     * Waits until a lookup and a photo request succeed; nodes and backend servers discover each other after the start.
     */
    private void awaitReady() throws InterruptedException {
        long endNs = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (System.nanoTime() < endNs) {
            try {
                int status = client.send(
                                request("/specdesk/doors/7").GET().build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode();
                int photoStatus = client.send(
                                request("/sitephotos/photos").GET().build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode();
                if (status == OK && photoStatus == OK) {
                    return;
                }
            } catch (IOException e) {
                // The node does not listen yet; the request is repeated until READY_TIMEOUT.
            }
            Thread.sleep(READY_POLL_INTERVAL_MS);
        }
        throw new IllegalStateException("Node " + callerAddress
                + " did not serve both a lookup and a photo request within " + READY_TIMEOUT.toSeconds() + " s");
    }
}
