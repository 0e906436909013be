package org.sequoianotch.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.Region;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.Clock;

/**
 * Selector that routes by the latency and the faults that this node observed at each instance and by the reported load.
 *
 * <p>Instances of the home data centre are preferred, then those of the home region. If the data centre is nearly full,
 * the rest of the region is included, and a part of the calls that the data centre does not admit is sent there.
 * Another region is chosen if no other instance is left, or if the time saved exceeds the price of the volume.
 *
 * <p>Of two random instances the one with the lower expected cost is chosen; instances in their slow-start period are
 * drawn less often. An instance that names the requests per second that it takes is left out of the share of calls that
 * it does not admit. Ejected instances receive single probes. If every candidate is ejected, ejection is ignored. This
 * class is thread-safe.
 */
public final class ProtectiveSelector implements InstanceSelector {
    private static final double MIN_SLOW_START_WEIGHT = 0.1;
    private static final double MIN_LATENCY_MS = 0.1;
    private static final double MIN_ADMITTED_FRACTION = 0.1;
    /**
     * Utilisation from which the instances of the region's other data centres are included. Including them only after
     * refusals let the queues of one data centre fill up while another one had free slots.
     */
    private static final double BUSY_UTILISATION = 0.8;

    /** Estimated round trip to an instance of another region that this node has not called recently. */
    private static final double CROSS_REGION_ROUND_TRIP_MS = 40;
    /** Smaller savings are within the noise of the averages. */
    private static final double MIN_SAVING_MS = 10;

    /**
     * Another region must save this many mean deviations of the latency in the home region. The average covers only
     * the calls of half a second, so that it varies by one or two deviations without a fault.
     */
    private static final double CROSS_REGION_DEVIATIONS = 2;

    /** A region twice as fast is used regardless of the deviation, which is large while an instance becomes slow. */
    private static final double MAX_UNCERTAINTY_FRACTION = 0.5;

    /** Time that a refusal costs: the wait of the caller whose request is refused. */
    private static final double REFUSAL_COST_MS = 1_000;
    /** A critical call is used as the probe only if no other call has been within this time after the probe was due. */
    private static final double CRITICAL_PROBE_DELAY_MS = 200;

    private static final double IDLE_RETENTION_MS = 60_000;
    private static final double BYTES_PER_KIB = 1_024;

    private final ServiceRule rule;
    private final DataCentre homeDataCentre;
    private final Region homeRegion;
    private final int crossRegionPriceMsPerKib;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<HostId, InstanceStats> statsByHost = new HashMap<>();
    private double nextEvictionMs = Double.NEGATIVE_INFINITY;
    private @Nullable CandidateGroups groups;
    private @Nullable List<Instance> groupedFrom;
    private int ejectedCount;
    /** Until this time, some instance may be known to name the requests per second that it takes. */
    private double rateLimitedUntilMs = Double.NEGATIVE_INFINITY;
    /** Until this time, some instance may be in its slow-start period. */
    private double slowStartEndsAtMs = Double.NEGATIVE_INFINITY;
    /** Estimate of the latency of the service without load: the lowest average of any instance. */
    private double lowestLatencyMs = Double.POSITIVE_INFINITY;
    /** Lower bound of the averages, also of those of few samples. */
    private double lowestAverageMs = Double.POSITIVE_INFINITY;

    /**
     * Creates the selector of one service at one node.
     *
     * @param rule limits of the service; not null
     * @param homeDataCentre the node's data centre; not null
     * @param homeRegion the node's region; not null
     * @param crossRegionPriceMsPerKib time that a call must save for each KiB that it sends to another region; not
     *     negative
     * @param clock the clock; not null
     * @param random source of randomness, used under the selector's lock; not null
     */
    public ProtectiveSelector(
            ServiceRule rule,
            DataCentre homeDataCentre,
            Region homeRegion,
            int crossRegionPriceMsPerKib,
            Clock clock,
            RandomGenerator random) {
        this.rule = rule;
        this.homeDataCentre = homeDataCentre;
        this.homeRegion = homeRegion;
        this.crossRegionPriceMsPerKib = crossRegionPriceMsPerKib;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public synchronized Optional<Instance> select(RoutingRequest request, List<Instance> candidates) {
        double nowMs = clock.monotonicMs();
        evictIdleStats(nowMs);
        CandidateGroups known = groupsOf(candidates, nowMs);
        CandidateGroups usable =
                request.excludedHosts().isEmpty() ? known : known.without(request.excludedHosts()::contains);
        if (ejectedCount > 0) {
            Candidate probe = dueProbe(request.criticality(), usable, nowMs);
            if (probe != null) {
                probe.stats().startProbe(nowMs);
                return Optional.of(probe.instance());
            }
            CandidateGroups healthy = usable.withoutEjected();
            usable = healthy.isEmpty() ? usable : healthy;
        }
        if (nowMs < rateLimitedUntilMs) {
            CandidateGroups admitting = withoutFullRateLimits(request.criticality(), usable, nowMs);
            usable = admitting.isEmpty() ? usable : admitting;
        }
        Candidate chosen = chooseByDistance(request, usable, nowMs);
        return chosen == null ? Optional.empty() : Optional.of(chosen.instance());
    }

    /**
     * Leaves out each instance that names the requests per second that it takes, except for the fraction of the calls
     * that it admits. Its cost does not show that it is full, because few calls are in flight there.
     */
    private CandidateGroups withoutFullRateLimits(Criticality criticality, CandidateGroups usable, double nowMs) {
        return usable.withoutCandidates(candidate -> candidate.stats().isRateLimited(nowMs)
                && random.nextDouble() >= candidate.stats().admittedFraction(criticality, nowMs));
    }

    /** Groups the instances again only if they have changed; the list of a service stays the same object until then. */
    private CandidateGroups groupsOf(List<Instance> candidates, double nowMs) {
        if (groups == null || groupedFrom != candidates) {
            groups = CandidateGroups.of(candidates, homeDataCentre, homeRegion, host -> stats(host, nowMs));
            groupedFrom = candidates;
        }
        return groups;
    }

    @Override
    public synchronized Attempt start(Instance instance) {
        InstanceStats stats = stats(instance.host(), clock.monotonicMs());
        stats.onStart(clock.monotonicMs());
        return new CountedAttempt(stats);
    }

    /**
     * Finds an ejected instance of the home region that is due for a probe, or of any region if no usable instance is
     * in the home region.
     */
    private static @Nullable Candidate dueProbe(Criticality criticality, CandidateGroups usable, double nowMs) {
        double extraDelayMs = criticality == Criticality.CRITICAL ? CRITICAL_PROBE_DELAY_MS : 0;
        if (usable.local().isEmpty() && usable.restOfRegion().isEmpty()) {
            return firstDue(usable.otherRegions(), nowMs, extraDelayMs);
        }
        Candidate due = firstDue(usable.local(), nowMs, extraDelayMs);
        return due == null ? firstDue(usable.restOfRegion(), nowMs, extraDelayMs) : due;
    }

    private static @Nullable Candidate firstDue(List<Candidate> candidates, double nowMs, double extraDelayMs) {
        for (Candidate candidate : candidates) {
            if (candidate.stats().isProbeDue(nowMs, extraDelayMs)) {
                return candidate;
            }
        }
        return null;
    }

    private @Nullable Candidate chooseByDistance(RoutingRequest request, CandidateGroups usable, double nowMs) {
        Criticality criticality = request.criticality();
        List<Candidate> local = usable.local();
        List<Candidate> restOfRegion = usable.restOfRegion();
        List<Candidate> preferred =
                local.isEmpty() || spillsToRegion(criticality, local, restOfRegion, nowMs) ? restOfRegion : local;
        if (preferred == local && isBusierThan(local, restOfRegion, nowMs)) {
            preferred = new ArrayList<>(local);
            preferred.addAll(restOfRegion);
        }
        Candidate regional = chooseBetterOfTwo(criticality, preferred, nowMs);
        if (regional != null && !mayJustifyCrossRegionCall(request, regional, nowMs)) {
            return regional;
        }
        Candidate remote = chooseBetterOfTwo(criticality, usable.otherRegions(), nowMs);
        boolean useRemote = regional == null
                || remote != null
                        && savingMs(request, regional, latencyOf(remote, nowMs), nowMs)
                                        - refusalCostMs(criticality, remote, nowMs)
                                > 0;
        return useRemote ? remote : regional;
    }

    /** Tells whether this call is among those that the data centre does not admit, but the rest of the region does. */
    private boolean spillsToRegion(
            Criticality criticality, List<Candidate> local, List<Candidate> restOfRegion, double nowMs) {
        double localFraction = admittedFraction(criticality, local, nowMs);
        return !restOfRegion.isEmpty()
                && localFraction < 1
                && admittedFraction(criticality, restOfRegion, nowMs) > localFraction
                && random.nextDouble() >= localFraction;
    }

    /** Tells whether the data centre is nearly full while the rest of the region is less utilised. */
    private static boolean isBusierThan(List<Candidate> local, List<Candidate> restOfRegion, double nowMs) {
        double localUse = utilisation(local, nowMs);
        return !restOfRegion.isEmpty() && localUse >= BUSY_UTILISATION && utilisation(restOfRegion, nowMs) < localUse;
    }

    private static double utilisation(List<Candidate> candidates, double nowMs) {
        double sum = 0;
        for (Candidate candidate : candidates) {
            sum += candidate.stats().utilisation(nowMs);
        }
        return candidates.isEmpty() ? 0 : sum / candidates.size();
    }

    private static double admittedFraction(Criticality criticality, List<Candidate> candidates, double nowMs) {
        double sum = 0;
        for (Candidate candidate : candidates) {
            sum += candidate.stats().admittedFraction(criticality, nowMs);
        }
        return candidates.isEmpty() ? 0 : sum / candidates.size();
    }

    /** Tells whether an instance of another region could be fast enough, whichever is chosen. */
    private boolean mayJustifyCrossRegionCall(RoutingRequest request, Candidate regional, double nowMs) {
        return savingMs(request, regional, Math.min(lowestLatencyMs, lowestAverageMs), nowMs) > 0;
    }

    /** Returns the time that a latency saves beyond the price of the volume and the uncertainty of the averages. */
    private double savingMs(RoutingRequest request, Candidate regional, double remoteMs, double nowMs) {
        double regionalMs = regional.stats().latencyMs(nowMs) + refusalCostMs(request.criticality(), regional, nowMs);
        double priceMs = crossRegionPriceMsPerKib * (request.bodyBytes() / BYTES_PER_KIB);
        double uncertaintyMs = Math.min(
                CROSS_REGION_DEVIATIONS * regional.stats().deviationMs(), MAX_UNCERTAINTY_FRACTION * regionalMs);
        return regionalMs - remoteMs - priceMs - uncertaintyMs - MIN_SAVING_MS;
    }

    private double latencyOf(Candidate remote, double nowMs) {
        return remote.stats().hasRecentLatency(nowMs)
                ? remote.stats().undecayedLatencyMs()
                : lowestLatencyMs + CROSS_REGION_ROUND_TRIP_MS;
    }

    private static double refusalCostMs(Criticality criticality, Candidate candidate, double nowMs) {
        return REFUSAL_COST_MS * (1 - candidate.stats().admittedFraction(criticality, nowMs));
    }

    /** Draws two candidates at random and returns the one with the lower cost, or null if there is none. */
    private @Nullable Candidate chooseBetterOfTwo(Criticality criticality, List<Candidate> candidates, double nowMs) {
        if (candidates.size() <= 1) {
            return candidates.isEmpty() ? null : candidates.getFirst();
        }
        int first = draw(candidates, -1, nowMs);
        int second = draw(candidates, first, nowMs);
        Candidate one = candidates.get(first);
        Candidate other = candidates.get(second);
        boolean bothKnown = one.stats().hasLatency() && other.stats().hasLatency();
        double defaultLatencyMs = bothKnown ? 0 : averageLatencyMs(candidates, nowMs);
        return cost(criticality, one, defaultLatencyMs, nowMs) <= cost(criticality, other, defaultLatencyMs, nowMs)
                ? one
                : other;
    }

    private int draw(List<Candidate> candidates, int excludedIndex, double nowMs) {
        if (nowMs < slowStartEndsAtMs) {
            return drawWeighted(candidates, excludedIndex, nowMs);
        }
        if (excludedIndex < 0) {
            return random.nextInt(candidates.size());
        }
        int index = random.nextInt(candidates.size() - 1);
        return index < excludedIndex ? index : index + 1;
    }

    private int drawWeighted(List<Candidate> candidates, int excludedIndex, double nowMs) {
        double wallClockMs = clock.nowMs();
        double total = 0;
        for (int i = 0; i < candidates.size(); i++) {
            total += i == excludedIndex ? 0 : slowStartWeight(candidates.get(i), wallClockMs, nowMs);
        }
        double point = random.nextDouble() * total;
        int lastIndex = -1;
        for (int i = 0; i < candidates.size(); i++) {
            if (i != excludedIndex) {
                lastIndex = i;
                point -= slowStartWeight(candidates.get(i), wallClockMs, nowMs);
                if (point < 0) {
                    return i;
                }
            }
        }
        return lastIndex;
    }

    /** Weight that grows over the slow-start period. The longer of two ages is used, since clocks may differ. */
    private double slowStartWeight(Candidate candidate, double wallClockMs, double nowMs) {
        if (rule.slowStartMs() == 0) {
            return 1;
        }
        double announcedMs = wallClockMs - candidate.instance().startedAtMs();
        double ageMs = Math.max(announcedMs, candidate.stats().ageMs(nowMs));
        return Math.clamp(ageMs / rule.slowStartMs(), MIN_SLOW_START_WEIGHT, 1.0);
    }

    private static double averageLatencyMs(List<Candidate> candidates, double nowMs) {
        double sumMs = 0;
        int known = 0;
        for (Candidate candidate : candidates) {
            if (candidate.stats().hasLatency()) {
                sumMs += candidate.stats().latencyMs(nowMs);
                known++;
            }
        }
        return known == 0 ? MIN_LATENCY_MS : sumMs / known;
    }

    /** Returns the expected latency times the load, divided by the admitted fraction of calls of this criticality. */
    private static double cost(Criticality criticality, Candidate candidate, double defaultLatencyMs, double nowMs) {
        InstanceStats stats = candidate.stats();
        double latencyMs = Math.max(MIN_LATENCY_MS, stats.hasLatency() ? stats.latencyMs(nowMs) : defaultLatencyMs);
        double ownLoad = (stats.inFlight() + 1.0) / candidate.instance().slots();
        double reportedLoad = stats.utilisation(nowMs);
        double admitted = Math.max(MIN_ADMITTED_FRACTION, stats.admittedFraction(criticality, nowMs));
        return latencyMs * (ownLoad + reportedLoad) / admitted;
    }

    private InstanceStats stats(HostId host, double nowMs) {
        InstanceStats known = statsByHost.get(host);
        if (known == null) {
            known = new InstanceStats(nowMs);
            statsByHost.put(host, known);
            slowStartEndsAtMs = nowMs + rule.slowStartMs();
        }
        return known;
    }

    private void evictIdleStats(double nowMs) {
        if (nowMs < nextEvictionMs) {
            return;
        }
        nextEvictionMs = nowMs + IDLE_RETENTION_MS;
        statsByHost.values().removeIf(stats -> stats.isIdleSince(nowMs - IDLE_RETENTION_MS));
        groups = null;
        ejectedCount = 0;
        lowestLatencyMs = Double.POSITIVE_INFINITY;
        lowestAverageMs = Double.POSITIVE_INFINITY;
        for (InstanceStats stats : statsByHost.values()) {
            ejectedCount += stats.isEjected() ? 1 : 0;
            noteLatency(stats);
        }
    }

    private void noteLatency(InstanceStats stats) {
        lowestLatencyMs = Math.min(lowestLatencyMs, stats.lowestLatencyMs());
        if (stats.hasLatency()) {
            lowestAverageMs = Math.min(lowestAverageMs, stats.undecayedLatencyMs());
        }
    }

    private void finish(InstanceStats stats, AttemptResult result, double elapsedMs, @Nullable LoadReport load) {
        boolean wasEjected = stats.isEjected();
        double nowMs = clock.monotonicMs();
        stats.onFinish(result, elapsedMs, load, nowMs);
        if (load != null && load.isRateLimited()) {
            rateLimitedUntilMs = nowMs + InstanceStats.MAX_LOAD_AGE_MS;
        }
        noteLatency(stats);
        if (stats.isEjected() != wasEjected) {
            ejectedCount += wasEjected ? -1 : 1;
        }
    }

    /** Attempt that is counted as in flight until it is finished. */
    private final class CountedAttempt implements Attempt {
        private final InstanceStats stats;
        private final AtomicBoolean finished = new AtomicBoolean();

        CountedAttempt(InstanceStats stats) {
            this.stats = stats;
        }

        @Override
        public void finish(AttemptResult result, double latencyMs, @Nullable LoadReport load) {
            if (finished.compareAndSet(false, true)) {
                synchronized (ProtectiveSelector.this) {
                    ProtectiveSelector.this.finish(stats, result, latencyMs, load);
                }
            }
        }
    }
}
