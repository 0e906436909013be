package org.sequoianotch.route;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.template.RepeatRule;

/**
 * Routing rule for the requests to one authority whose path begins with a given prefix.
 *
 * <p>This type is immutable.
 *
 * @param name name of the route, unique in its table; not null
 * @param authority host name of the requests, in lower case and without a port; not null
 * @param pathPrefix prefix of the path, starting with a slash; not null
 * @param repeat whether a request may be sent again; not null
 * @param largeBodies whether the requests have large bodies
 * @param priority rank of the requests, 0 is the highest; not negative
 * @param timeoutMs time limit of a request, in milliseconds; positive
 * @param targetLatencyMs latency up to which a response has its full value for the caller, in milliseconds; positive
 * @param maxAttempts largest number of instances that one request is sent to; positive
 * @param targets services that share the requests by weight, at least one with a positive weight; not null
 */
public record Route(
        String name,
        String authority,
        String pathPrefix,
        RepeatRule repeat,
        boolean largeBodies,
        int priority,
        long timeoutMs,
        long targetLatencyMs,
        int maxAttempts,
        List<RouteTarget> targets) {
    /** Checks the path prefix, the ranges of the numbers and the weights, and copies the targets. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(authority, "authority");
        Objects.requireNonNull(repeat, "repeat");
        targets = List.copyOf(targets);
        if (!pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException(
                    "route " + name + " has the path prefix \"" + pathPrefix + "\", but it must start with a slash");
        }
        if (priority < 0 || timeoutMs < 1 || targetLatencyMs < 1 || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " has a priority of " + priority + ", a timeout of "
                    + timeoutMs + " ms, a target latency of " + targetLatencyMs + " ms and " + maxAttempts
                    + " attempts, of which one is out of range");
        }
        if (targets.stream().mapToInt(RouteTarget::weight).sum() < 1) {
            throw new IllegalArgumentException("route " + name + " has no target with a weight above zero");
        }
    }

    /**
     * Returns the criticality by which requests of this route are shed.
     *
     * @return the criticality whose rank is the priority, or the last one for priorities beyond it; never null
     */
    public Criticality criticality() {
        Criticality[] all = Criticality.values();
        return all[Math.min(priority, all.length - 1)];
    }

    /**
     * Chooses one of the targets in proportion to the weights.
     *
     * @param random source of randomness; not null
     * @return the service, never null
     */
    public ServiceName chooseTarget(RandomGenerator random) {
        if (targets.size() == 1) {
            return targets.getFirst().service();
        }
        int point =
                random.nextInt(targets.stream().mapToInt(RouteTarget::weight).sum());
        for (RouteTarget target : targets) {
            point -= target.weight();
            if (point < 0) {
                return target.service();
            }
        }
        throw new IllegalStateException("route " + name + " has no target for the chosen weight");
    }
}
