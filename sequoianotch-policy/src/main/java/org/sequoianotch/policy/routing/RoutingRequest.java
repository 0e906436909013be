package org.sequoianotch.policy.routing;

import java.util.Objects;
import java.util.Set;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;

/**
 * Attributes of a call by which an instance is selected.
 *
 * <p>This type is immutable.
 *
 * @param criticality importance of the request; not null
 * @param bodyBytes expected size of the request and response bodies in bytes; not negative
 * @param excludedHosts hosts that were already tried for this call; not null
 */
public record RoutingRequest(Criticality criticality, long bodyBytes, Set<HostId> excludedHosts) {
    /**
     * Checks the size and copies the set.
     *
     * @throws IllegalArgumentException if the size is negative
     */
    public RoutingRequest {
        Objects.requireNonNull(criticality, "criticality");
        excludedHosts = Set.copyOf(excludedHosts);
        if (bodyBytes < 0) {
            throw new IllegalArgumentException("bodyBytes is " + bodyBytes + ", but must not be negative");
        }
    }
}
