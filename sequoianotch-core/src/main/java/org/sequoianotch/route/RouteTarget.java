package org.sequoianotch.route;

import java.util.Objects;
import org.sequoianotch.model.ServiceName;

/**
 * One of the services that share the requests of a route.
 *
 * <p>This type is immutable.
 *
 * @param service the service; not null
 * @param weight share of the requests, relative to the weights of the other targets; not negative
 */
public record RouteTarget(ServiceName service, int weight) {
    /** Checks that the weight is not negative. */
    public RouteTarget {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException(
                    "the weight of " + service + " is " + weight + ", but must not be negative");
        }
    }
}
