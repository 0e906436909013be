package org.sequoianotch.daemon.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoianotch.daemon.http.HttpExchange;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.route.Route;
import org.sequoianotch.route.RouteTable;
import org.sequoianotch.template.RouteRule;
import org.sequoianotch.template.ServiceRule;

/**
 * Limits of the services that are reached through a route table, which sets no limits itself.
 *
 * <p>This class is thread-safe.
 */
public final class RouteLimits {
    /** No limit of its own: the announced slots alone limit the concurrent calls of an instance. */
    private static final int NO_MAX_IN_FLIGHT = 100_000;

    /** Calls that may wait at an instance; calls in a longer queue wait longer than {@link #QUEUE_TIME_MS} anyway. */
    private static final int QUEUE_LENGTH = 256;

    /** A third of the shortest target latencies of the deployments. */
    private static final long QUEUE_TIME_MS = 300;

    /** How long instances of the deployments are slow after their start. */
    private static final long SLOW_START_MS = 3_000;

    private final Map<ServiceName, ServiceRule> rules = new ConcurrentHashMap<>();

    private final int retryBudgetPercent;

    /**
     * Creates the limits.
     *
     * @param retryBudgetPercent retries that all nodes together may add, in percent of the calls of a service; from 0
     *     to 100
     */
    public RouteLimits(int retryBudgetPercent) {
        this.retryBudgetPercent = retryBudgetPercent;
    }

    /**
     * Returns the limits of a service.
     *
     * @param service the service; not null
     * @return the limits, never null
     */
    public ServiceRule of(ServiceName service) {
        return rules.computeIfAbsent(
                service,
                name -> new ServiceRule(
                        name, NO_MAX_IN_FLIGHT, QUEUE_LENGTH, QUEUE_TIME_MS, retryBudgetPercent, SLOW_START_MS));
    }

    OutboundCall outbound(
            HttpExchange exchange, RouteTable table, CallerRequestInfo info, Route route, ServiceName service) {
        RouteRule rule = new RouteRule(
                service,
                RouteRule.ANY_METHOD,
                route.pathPrefix(),
                route.criticality(),
                route.repeat(),
                route.timeoutMs(),
                route.maxAttempts() - 1);
        return new OutboundCall(
                exchange.method(),
                exchange.uri(),
                info.headers(),
                exchange.hasBody() ? exchange.bodyBytes() : 0,
                null,
                rule,
                of(service),
                table.revision());
    }
}
