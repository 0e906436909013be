package org.sequoianotch.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.ranges.LongRange;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;

/** Base class of the commands that send requests to a node. Instances are not thread-safe. */
abstract class RemoteCommand implements CtlCommand {
    private static final String KEY_VARIABLE = "SEQUOIANOTCH_OPERATOR_KEY";
    /** Error code of a change that may have been made. */
    static final String IN_DOUBT = "in_doubt";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(name = "--node", title = "ADDRESS", description = "Admin listener of a node (default 127.0.0.1:8083)")
    private String node = "127.0.0.1:8083";

    @Option(name = "--key-file", title = "FILE", description = "File that holds the operator key")
    private String keyFile = "";

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Option(name = "--timeout-ms", title = "MS", description = "Longest wait for the node (default 5000)")
    @LongRange(min = 1, max = 600_000)
    private long timeoutMs = 5_000;

    @Override
    public final ExitCode run(CtlContext context) throws InterruptedException {
        if (!isAddress(node)) {
            context.err().println("--node \"" + node + "\" must be a host and a port, such as 127.0.0.1:8083.");
            return ExitCode.USAGE;
        }
        String key;
        try {
            key = readKey(context);
        } catch (IOException e) {
            context.err().println("The key file " + keyFile + " cannot be read: " + e + ".");
            return ExitCode.USAGE;
        }
        if (key.chars().anyMatch(c -> c < ' ' || c > '~')) {
            context.err().println("The operator key must be one line of printable ASCII characters.");
            return ExitCode.USAGE;
        }
        try (AdminClient client = new AdminClient(node, key, timeoutMs)) {
            return execute(context, client);
        }
    }

    /** Sends the requests of the command to the node and prints the result. */
    abstract ExitCode execute(CtlContext context, AdminClient client) throws InterruptedException;

    private static boolean isAddress(String text) {
        try {
            URI uri = URI.create("http://" + text);
            return uri.getHost() != null
                    && uri.getUserInfo() == null
                    && uri.getPort() > 0
                    && uri.getAuthority().equals(text);
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private String readKey(CtlContext context) throws IOException {
        return keyFile.isEmpty()
                ? context.environment().getOrDefault(KEY_VARIABLE, "").trim()
                : Files.readString(Path.of(keyFile)).trim();
    }

    boolean isJson() {
        return json;
    }

    /** Prints the response to a query: its lines of text or, with {@code --json}, its unchanged body. */
    ExitCode print(CtlContext context, Either<AdminClient.NoResponse, AdminResponse> response) {
        if (response.isLeft()) {
            context.err().println(response.getLeft().message());
            return ExitCode.NOT_REACHABLE;
        }
        Either<String, JsonNode> body = parse(response.get());
        if (body.isLeft()) {
            context.err().println(body.getLeft());
            return ExitCode.NOT_REACHABLE;
        }
        if (!response.get().isOk()) {
            printError(context, response.get(), body.get());
            return ExitCode.REFUSED;
        }
        if (json) {
            context.out().println(response.get().body().strip());
        } else {
            body.get().path("text").forEach(line -> context.out().println(line.asText()));
        }
        return ExitCode.OK;
    }

    void printError(CtlContext context, AdminResponse response, JsonNode body) {
        if (json) {
            context.out().println(response.body().strip());
        }
        String code = body.path("error").asText("status " + response.status());
        String prefix = code.equals(IN_DOUBT) ? "In doubt: " : "Refused (" + code + "): ";
        context.err().println(prefix + body.path("detail").asText());
    }

    static Either<String, JsonNode> parse(AdminResponse response) {
        try {
            JsonNode body = MAPPER.readTree(response.body());
            if (body != null && body.isObject()) {
                return Either.right(body);
            }
        } catch (JsonProcessingException e) {
            // Reported below, like a JSON value that is not an object.
        }
        return Either.left("The response with status " + response.status()
                + " is not a JSON object, so it is not from the admin listener of a node.");
    }
}
