package org.sequoianotch.daemon.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.policy.admission.EntryGate;
import org.sequoianotch.policy.retry.RetryPolicy;
import org.sequoianotch.policy.retry.SharedRetryLimit;
import org.sequoianotch.policy.routing.InstanceSelector;
import org.sequoianotch.template.RouteRule;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.Clock;

/**
 * The instance selection, retry and entry policies of this node for each service that it calls.
 *
 * <p>Policies keep what the node has observed of a service and are replaced when the limits of the service change.
 *
 * <p>This class is thread-safe.
 */
public final class ServicePolicies {
    private final PolicyMode mode;
    private final NodeLocation location;
    private final int crossRegionPriceMsPerKib;
    private final SharedRetryLimit retryLimit;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<ServiceName, Policies> policies = new ConcurrentHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param mode the kind of policies; not null
     * @param location location of this node; not null
     * @param crossRegionPriceMsPerKib cost of sending one KiB to another region, in milliseconds of latency; not
     *     negative
     * @param retryLimit limit on the retries of all nodes, where the mode has one; not null
     * @param clock the clock; not null
     * @param random source of randomness, safe for several threads; not null
     */
    public ServicePolicies(
            PolicyMode mode,
            NodeLocation location,
            int crossRegionPriceMsPerKib,
            SharedRetryLimit retryLimit,
            Clock clock,
            RandomGenerator random) {
        this.mode = mode;
        this.location = location;
        this.crossRegionPriceMsPerKib = crossRegionPriceMsPerKib;
        this.retryLimit = retryLimit;
        this.clock = clock;
        this.random = random;
    }

    InstanceSelector selector(ServiceRule rule) {
        return of(rule).selector;
    }

    RetryPolicy retryPolicy(ServiceRule rule) {
        return of(rule).retryPolicy;
    }

    /** Each route has its own gate, because routes of one service lead to different services downstream. */
    EntryGate gate(ServiceRule rule, RouteRule route) {
        return of(rule).gates.computeIfAbsent(route.label(), label -> mode.newEntryGate(clock, random));
    }

    private Policies of(ServiceRule rule) {
        Policies known = policies.get(rule.service());
        if (known != null && known.rule.equals(rule)) {
            return known;
        }
        return policies.compute(
                rule.service(),
                (service, present) -> present != null && present.rule.equals(rule) ? present : create(rule));
    }

    private Policies create(ServiceRule rule) {
        return new Policies(
                rule,
                mode.newSelector(
                        rule, location.dataCentre(), location.region(), crossRegionPriceMsPerKib, clock, random),
                mode.newRetryPolicy(rule, retryLimit, clock),
                new ConcurrentHashMap<>());
    }

    private record Policies(
            ServiceRule rule, InstanceSelector selector, RetryPolicy retryPolicy, Map<String, EntryGate> gates) {}
}
