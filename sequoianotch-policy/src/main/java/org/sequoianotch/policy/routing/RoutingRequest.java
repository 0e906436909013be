package org.sequoianotch.policy.routing;

import java.util.Objects;
import java.util.Set;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;

/**
 * What the selection of an instance needs to know about a call.
 *
 * <p>This type is immutable.
 *
 * @param criticality how much the request matters; not null
 * @param bodyBytes expected volume of the call in bytes; not negative
 * @param excludedHosts hosts already tried for this call; not null
 */
public record RoutingRequest(Criticality criticality, long bodyBytes, Set<HostId> excludedHosts) {
    /** Checks the components and copies the set. */
    public RoutingRequest {
        Objects.requireNonNull(criticality, "criticality");
        excludedHosts = Set.copyOf(excludedHosts);
        if (bodyBytes < 0) {
            throw new IllegalArgumentException("bodyBytes is " + bodyBytes + ", but must not be negative");
        }
    }
}
