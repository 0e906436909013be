package org.sequoianotch.daemon.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.daemon.burn.BurnHtml;
import org.sequoianotch.daemon.burn.BurnReport;
import org.sequoianotch.daemon.burn.BurnText;
import org.sequoianotch.daemon.explain.NodeQuery;
import org.sequoianotch.daemon.explain.RequestTimeline;
import org.sequoianotch.daemon.explain.ServiceSummary;
import org.sequoianotch.daemon.http.BufferedResponse;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.metrics.NodeMetrics;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.protocol.HeaderField;

/**
 * Handles the HTTP requests of operators and of metrics collectors.
 *
 * <p>On a loopback listener, metrics, health and status require no key, and other queries require one only if operator
 * keys are configured. On any other listener, everything but health requires a key. A template change always requires
 * one.
 *
 * <p>This class is thread-safe.
 */
public final class AdminHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(AdminHandler.class);
    private static final long QUERY_TIMEOUT_MS = 2_000;
    private static final long HOUR_MS = 3_600_000;
    private static final long MAX_SINCE_MS = 7 * 24 * HOUR_MS;
    private static final String EXPLAIN_PREFIX = "/v1/explain/";
    private static final String EXPLAIN_SERVICE_PREFIX = "/v1/explain/service/";
    private static final String TEMPLATES_PREFIX = "/v1/templates/";
    private static final String HEALTH_PATH = "/v1/health";
    private static final List<String> KEYLESS_PATHS = List.of("/metrics", HEALTH_PATH, "/v1/status");
    private static final String TEXT_CONTENT_TYPE = "text/plain; charset=utf-8";
    private static final String HTML_CONTENT_TYPE = "text/html; charset=utf-8";

    private final AdminDependencies dependencies;
    private final OperatorKeys keys;
    private final boolean loopback;
    private final NodeQueryClient queryClient;
    private final TemplateEndpoint templateEndpoint;

    /**
     * Creates the handler.
     *
     * @param dependencies the components of this node that the handler uses; not null
     * @param keys the operator keys; not null
     * @param loopback true if only processes on the same host can reach the listener
     */
    public AdminHandler(AdminDependencies dependencies, OperatorKeys keys, boolean loopback) {
        this.dependencies = dependencies;
        this.keys = keys;
        this.loopback = loopback;
        queryClient = new NodeQueryClient(
                dependencies.host(),
                dependencies.membershipView(),
                dependencies.requester(),
                dependencies.clock(),
                QUERY_TIMEOUT_MS);
        templateEndpoint = new TemplateEndpoint(
                dependencies.templateChanges(), dependencies.membershipView(), dependencies.clock());
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException {
        // The body is read before a refusal is sent: closing a connection with unread bytes can discard the response.
        Either<Failure, byte[]> body = exchange.readWholeBody(TemplateEndpoint.MAX_TEMPLATE_BYTES);
        BufferedResponse response;
        try {
            response = serve(exchange, body);
        } catch (RuntimeException e) {
            LOG.error("[admin] {} {} failed with an internal error.", exchange.method(), exchange.uri(), e);
            response = AdminResponses.error(AdminError.INTERNAL, "The request failed with an internal error: " + e);
        }
        exchange.respond(response);
    }

    private BufferedResponse serve(HttpExchange exchange, Either<Failure, byte[]> body) throws InterruptedException {
        Optional<AdminRequest> parsed = AdminRequest.parse(exchange);
        if (parsed.isEmpty()) {
            return AdminResponses.error(
                    AdminError.BAD_REQUEST, "The request target \"" + exchange.uri() + "\" is malformed.");
        }
        AdminRequest request = parsed.get();
        boolean change = request.path().startsWith(TEMPLATES_PREFIX);
        String method = change ? "PUT" : "GET";
        Optional<String> operator = exchange.header("Authorization").flatMap(keys::authenticate);
        if (operator.isEmpty() && requiresKey(request.path(), change)) {
            return unauthorized(exchange, change);
        }
        if (!exchange.method().equals(method)) {
            return AdminResponses.error(AdminError.METHOD_NOT_ALLOWED, "This path supports only " + method + ".")
                    .plusHeader("Allow", method);
        }
        if (change) {
            return templateEndpoint.put(request, body, request.pathAfter(TEMPLATES_PREFIX), operator.orElseThrow());
        }
        return get(request);
    }

    private boolean requiresKey(String path, boolean change) {
        if (change) {
            return true;
        }
        if (!loopback) {
            return !path.equals(HEALTH_PATH);
        }
        return !KEYLESS_PATHS.contains(path) && !keys.isEmpty();
    }

    private BufferedResponse unauthorized(HttpExchange exchange, boolean change) {
        boolean keySent = exchange.header("Authorization").isPresent();
        if (keySent) {
            LOG.warn("[admin] Refused {} {}: the operator key is wrong.", exchange.method(), exchange.uri());
        }
        String detail = keys.isEmpty()
                ? "No operator key is set on this node: see [admin] operator_keys."
                : keySent ? "The operator key is wrong." : "An operator key is required: Authorization: Bearer KEY.";
        return AdminResponses.error(AdminError.KEY_REQUIRED, change ? detail + " Nothing was changed." : detail)
                .plusHeader("WWW-Authenticate", "Bearer realm=\"sequoianotch\"");
    }

    private BufferedResponse get(AdminRequest request) throws InterruptedException {
        String path = request.path();
        return switch (path) {
            case "/metrics" -> new BufferedResponse(
                    AdminResponses.OK,
                    List.of(new HeaderField("Content-Type", NodeMetrics.CONTENT_TYPE)),
                    dependencies.metrics().text());
            case HEALTH_PATH -> health();
            case "/v1/status" -> status();
            case "/v1/templates" -> templates();
            case "/v1/burn" -> burn(request);
            case "/v1/burn.html" -> AdminResponses.text(HTML_CONTENT_TYPE, BurnHtml.render(mergedBurn(false)));
            default -> explain(request);
        };
    }

    private BufferedResponse health() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("status", "up").put("host", dependencies.host().name());
        json.put("template_revision", dependencies.templates().get().revision());
        return AdminResponses.json(AdminResponses.OK, json);
    }

    private BufferedResponse status() throws InterruptedException {
        NodeResponses<NodeLoad> responses =
                queryClient.queryAll(new NodeQuery.OfLoad(), dependencies.load().get(), NodeLoad::decode);
        ObjectNode json = StatusReport.of(
                dependencies.host(),
                dependencies.membershipView().get(),
                dependencies.templates().get(),
                responses,
                dependencies.templateChanges().leader());
        AdminResponses.addNotAnswered(json, responses.failures());
        return AdminResponses.json(AdminResponses.OK, json);
    }

    private BufferedResponse templates() {
        return AdminResponses.json(
                AdminResponses.OK, TemplateJson.of(dependencies.templates().get()));
    }

    private BufferedResponse burn(AdminRequest request) throws InterruptedException {
        String scope = request.parameter("scope").orElse("all");
        String format = request.parameter("format").orElse("json");
        if (!scope.equals("all") && !scope.equals("node")) {
            return AdminResponses.error(
                    AdminError.BAD_REQUEST, "The parameter scope must be all or node, but is \"" + scope + "\".");
        }
        BurnReport report = mergedBurn(scope.equals("node"));
        return switch (format) {
            case "json" -> AdminResponses.json(AdminResponses.OK, BurnText.json(report));
            case "text" -> AdminResponses.text(TEXT_CONTENT_TYPE, BurnText.text(report));
            case "html" -> AdminResponses.text(HTML_CONTENT_TYPE, BurnHtml.render(report));
            default -> AdminResponses.error(
                    AdminError.BAD_REQUEST,
                    "The parameter format must be json, text or html, but is \"" + format + "\".");
        };
    }

    private BurnReport mergedBurn(boolean ownNodeOnly) throws InterruptedException {
        BurnReport own = dependencies.burnCounters().report();
        if (ownNodeOnly) {
            return own;
        }
        NodeResponses<BurnReport> responses = queryClient.queryAll(new NodeQuery.OfBurn(), own, BurnReport::decode);
        return BurnReport.merge(responses.byHost().values(), responses.failures());
    }

    private BufferedResponse explain(AdminRequest request) throws InterruptedException {
        if (request.path().startsWith(EXPLAIN_SERVICE_PREFIX)) {
            return explainService(request, request.pathAfter(EXPLAIN_SERVICE_PREFIX));
        }
        if (!request.path().startsWith(EXPLAIN_PREFIX)) {
            return AdminResponses.error(AdminError.NOT_FOUND, "No resource exists at " + request.path() + ".");
        }
        Optional<RequestId> id = RequestId.parse(request.pathAfter(EXPLAIN_PREFIX));
        if (id.isEmpty()) {
            return AdminResponses.error(
                    AdminError.BAD_REQUEST,
                    "Expected a request id of 32 hexadecimal digits, as in the header Sequoianotch-Request-Id, but got"
                            + " \"" + request.pathAfter(EXPLAIN_PREFIX) + "\".");
        }
        NodeResponses<RequestTimeline> responses = queryClient.queryAll(
                new NodeQuery.OfRequest(id.get()), dependencies.journal().timeline(id.get()), RequestTimeline::decode);
        RequestTimeline timeline = RequestTimeline.merge(responses.byHost().values());
        ObjectNode json = ExplainJson.of(id.get(), timeline, responses.failures());
        return AdminResponses.json(AdminResponses.OK, json);
    }

    private BufferedResponse explainService(AdminRequest request, String name) throws InterruptedException {
        Either<BufferedResponse, OptionalLong> since = request.numberParameter("since_ms", MAX_SINCE_MS);
        if (since.isLeft()) {
            return since.getLeft();
        }
        Optional<ServiceName> service = knownService(name);
        if (service.isEmpty()) {
            return AdminResponses.error(AdminError.NOT_FOUND, "No template in force contains service " + name + ".");
        }
        long sinceMs = since.get().orElse(HOUR_MS);
        NodeResponses<ServiceSummary> responses = queryClient.queryAll(
                new NodeQuery.OfService(service.get(), sinceMs),
                dependencies.serviceCounters().summary(service.get(), sinceMs),
                ServiceSummary::decode);
        ServiceSummary summary = ServiceSummary.merge(responses.byHost().values());
        return AdminResponses.json(
                AdminResponses.OK, ExplainJson.of(service.get(), sinceMs, summary, responses.failures()));
    }

    private Optional<ServiceName> knownService(String name) {
        try {
            ServiceName service = ServiceName.of(name);
            return dependencies.templates().get().templateOf(service).map(template -> service);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
