package org.sequoianotch.policy.routing;

import java.util.List;
import java.util.Optional;
import org.sequoianotch.model.Instance;

/** Selects instances by what this node itself has seen of them. Implementations are thread-safe. */
public interface InstanceSelector {
    /**
     * Selects an instance for a call.
     *
     * @param request the call; not null
     * @param candidates the known instances of the service that accept work; not null
     * @return the instance, or empty if none is left
     */
    Optional<Instance> select(RoutingRequest request, List<Instance> candidates);

    /**
     * Counts an attempt as started.
     *
     * @param instance the instance; not null
     * @return the attempt, never null
     */
    Attempt start(Instance instance);
}
