package org.sequoianotch.policy.routing;

import java.util.List;
import java.util.Optional;
import org.sequoianotch.model.Instance;

/** Selects the instance for a call and counts the attempts at it. Implementations are thread-safe. */
public interface InstanceSelector {
    /**
     * Selects an instance for a call.
     *
     * @param request the call; not null
     * @param candidates the known instances of the service that accept work; not null
     * @return the instance, or empty if no candidate is usable
     */
    Optional<Instance> select(RoutingRequest request, List<Instance> candidates);

    /**
     * Counts the start of an attempt.
     *
     * @param instance the instance; not null
     * @return the attempt, to be finished by the caller; never null
     */
    Attempt start(Instance instance);
}
