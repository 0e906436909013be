package org.sequoianotch.proof.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Client of the nodes' admin listeners that acts as an operator.
 *
 * <p>This class is thread-safe.
 */
final class AdminClient implements AutoCloseable {
    /** Operator keys by operator name; {@link Deployment} writes them into the settings of every node. */
    static final Map<String, String> OPERATOR_KEYS =
            Map.of("alice", "scenario-key-of-alice", "bob", "scenario-key-of-bob");

    private static final int OK = 200;
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(1);
    /** A node may try every control host in turn, for up to 12 s each. */
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(40);

    private final Function<String, InetSocketAddress> addresses;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates a client.
     *
     * @param addresses returns the address of the admin listener of a host; not null
     */
    AdminClient(Function<String, InetSocketAddress> addresses) {
        this.addresses = addresses;
    }

    /**
     * Submits a change to a host; the response has the code {@code no_answer} if none arrives, and is then
     * inconclusive.
     */
    TemplateChangeResponse submit(TemplateChangeResponse.Change change, String host) throws InterruptedException {
        String target = "/v1/templates/" + change.organisation() + "?expect_revision=" + change.expectedRevision()
                + "&change_id=" + change.changeId() + "&dry_run=" + change.dryRun();
        HttpRequest request = request(host, target, CHANGE_TIMEOUT)
                .header("Authorization", "Bearer " + OPERATOR_KEYS.get(change.operator()))
                .PUT(HttpRequest.BodyPublishers.ofString(change.text()))
                .build();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            JsonNode json = mapper.readTree(response.body());
            String code = response.statusCode() == OK
                    ? change.dryRun() ? "would_be_accepted" : "accepted"
                    : json.path("error").asText();
            return new TemplateChangeResponse(
                    change, code, json.path("revision").asLong(-1), response.body());
        } catch (IOException e) {
            return new TemplateChangeResponse(change, "no_answer", -1, String.valueOf(e.getMessage()));
        }
    }

    /** Reads the template revision in force on a node; empty if the node does not respond. */
    OptionalLong revision(String host) throws InterruptedException {
        JsonNode revision = get(host, "/v1/health", POLL_TIMEOUT).path("template_revision");
        return revision.isNumber() ? OptionalLong.of(revision.asLong()) : OptionalLong.empty();
    }

    /** Reads the deployment's status as seen by a node; a missing JSON node if there is no response with status 200. */
    JsonNode status(String host) throws InterruptedException {
        return get(host, "/v1/status", READ_TIMEOUT);
    }

    /** Reads the templates in force on a node; a missing JSON node if there is no response with status 200. */
    JsonNode templates(String host) throws InterruptedException {
        return get(host, "/v1/templates", READ_TIMEOUT);
    }

    private JsonNode get(String host, String target, Duration timeout) throws InterruptedException {
        HttpRequest request = request(host, target, timeout)
                .header("Authorization", "Bearer " + OPERATOR_KEYS.get("alice"))
                .build();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == OK ? mapper.readTree(response.body()) : MissingNode.getInstance();
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    private HttpRequest.Builder request(String host, String target, Duration timeout) {
        InetSocketAddress address = addresses.apply(host);
        return HttpRequest.newBuilder(
                        URI.create("http://" + address.getHostString() + ":" + address.getPort() + target))
                .timeout(timeout);
    }

    @Override
    public void close() {
        http.shutdownNow();
    }
}
