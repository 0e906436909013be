package org.sequoianotch.policy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.Region;

/**
 * The instances of a service that accept work, grouped by their distance.
 *
 * <p>This type is immutable, except for the statistics of the candidates.
 *
 * @param local candidates of the home data centre; not null
 * @param restOfRegion candidates of the other data centres of the home region; not null
 * @param otherRegions candidates of other regions; not null
 */
record CandidateGroups(List<Candidate> local, List<Candidate> restOfRegion, List<Candidate> otherRegions) {
    static CandidateGroups of(
            List<Instance> instances, DataCentre home, Region homeRegion, Function<HostId, InstanceStats> stats) {
        CandidateGroups groups = new CandidateGroups(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (Instance instance : instances) {
            if (instance.state().acceptsWork()) {
                Candidate candidate = new Candidate(instance, stats.apply(instance.host()));
                if (!instance.region().equals(homeRegion)) {
                    groups.otherRegions.add(candidate);
                } else if (instance.dataCentre().equals(home)) {
                    groups.local.add(candidate);
                } else {
                    groups.restOfRegion.add(candidate);
                }
            }
        }
        return groups;
    }

    boolean isEmpty() {
        return local.isEmpty() && restOfRegion.isEmpty() && otherRegions.isEmpty();
    }

    /** Returns the groups without the instances on some hosts. */
    CandidateGroups without(Predicate<HostId> excluded) {
        return withoutCandidates(candidate -> excluded.test(candidate.instance().host()));
    }

    CandidateGroups withoutCandidates(Predicate<Candidate> excluded) {
        return filter(candidate -> !excluded.test(candidate));
    }

    CandidateGroups withoutEjected() {
        return withoutCandidates(candidate -> candidate.stats().isEjected());
    }

    private CandidateGroups filter(Predicate<Candidate> retained) {
        return new CandidateGroups(
                filter(local, retained), filter(restOfRegion, retained), filter(otherRegions, retained));
    }

    private static List<Candidate> filter(List<Candidate> candidates, Predicate<Candidate> retained) {
        List<Candidate> filtered = new ArrayList<>(candidates.size());
        for (Candidate candidate : candidates) {
            if (retained.test(candidate)) {
                filtered.add(candidate);
            }
        }
        return filtered;
    }
}
