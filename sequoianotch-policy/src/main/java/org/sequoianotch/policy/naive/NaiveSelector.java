package org.sequoianotch.policy.naive;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sequoianotch.model.Instance;
import org.sequoianotch.policy.routing.Attempt;
import org.sequoianotch.policy.routing.InstanceSelector;
import org.sequoianotch.policy.routing.RoutingRequest;

/** Selector that chooses uniformly at random among all candidates. This class is thread-safe. */
public final class NaiveSelector implements InstanceSelector {
    private final RandomGenerator random;

    /**
     * Creates the selector.
     *
     * @param random source of randomness, used under its own lock; not null
     */
    public NaiveSelector(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<Instance> select(RoutingRequest request, List<Instance> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        synchronized (random) {
            return Optional.of(candidates.get(random.nextInt(candidates.size())));
        }
    }

    @Override
    public Attempt start(Instance instance) {
        return (result, latencyMs, load) -> {};
    }
}
