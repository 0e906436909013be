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
 * Routing by what this node has seen of each instance and by the reported loads.
 *
 * <p>The data centre comes first, then the region. If the data centre is nearly full, the rest of the region is drawn
 * as well, and a part of the calls that the data centre does not admit goes there. Another region is chosen if nothing
 * else is left, or if the time saved pays for the volume. Of
 * two random instances the one with the lower expected load is taken; cold instances are drawn less often. Ejected
 * instances get single probes, and if every candidate is ejected, ejection does not count. This class is thread-safe.
 */
public final class ProtectiveSelector implements InstanceSelector {
    private static final double COLDEST_WEIGHT = 0.1;
    private static final double LOWEST_LATENCY_MS = 0.1;
    private static final double LOWEST_FRACTION = 0.1;
    /**
     * Utilisation from which the instances of the region's other data centres are drawn as well. Waiting for refusals
     * instead let the queues of one data centre fill while another one had free slots.
     */
    private static final double BUSY_UTILISATION = 0.8;

    /** Round trip between two regions, for an instance there that this node has not called lately. */
    private static final double CROSS_REGION_ROUND_TRIP_MS = 40;
    /** Savings below this are within the noise of the averages. */
    private static final double LEAST_SAVING_MS = 10;

    /**
     * Another region must save this many mean deviations of the latency here. The average covers only the calls of half
     * a second, so that it strays by one or two deviations while nothing is wrong.
     */
    private static final double CROSS_REGION_DEVIATIONS = 2;

    /** A region that is twice as fast is used whatever the deviation, which is large while an instance turns slow. */
    private static final double LARGEST_DOUBT_SHARE = 0.5;

    /** Wait of a caller whose request is refused, which is what a refused call costs. */
    private static final double REFUSAL_MS = 1_000;
    /** Critical calls serve as a probe only if no other call did so for this time. */
    private static final double CRITICAL_PROBE_DELAY_MS = 200;

    private static final double FORGOTTEN_MS = 60_000;
    private static final double BYTES_PER_KIB = 1_024;

    private final ServiceRule rule;
    private final DataCentre home;
    private final Region homeRegion;
    private final int crossRegionPriceMsPerKib;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<HostId, InstanceStats> statsByHost = new HashMap<>();
    private double nextCleanUpMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates the selector of one service at one node.
     *
     * @param rule limits of the service; not null
     * @param home the node's data centre; not null
     * @param homeRegion the node's region; not null
     * @param crossRegionPriceMsPerKib time that a call must save for each KiB that it sends to another region; not
     *     negative
     * @param clock the clock; not null
     * @param random source of randomness, used under the selector's lock; not null
     */
    public ProtectiveSelector(
            ServiceRule rule,
            DataCentre home,
            Region homeRegion,
            int crossRegionPriceMsPerKib,
            Clock clock,
            RandomGenerator random) {
        this.rule = rule;
        this.home = home;
        this.homeRegion = homeRegion;
        this.crossRegionPriceMsPerKib = crossRegionPriceMsPerKib;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public synchronized Optional<Instance> select(RoutingRequest request, List<Instance> candidates) {
        double nowMs = clock.monotonicMs();
        cleanUp(nowMs);
        List<Candidate> usable = new ArrayList<>();
        for (Instance instance : candidates) {
            if (instance.state().acceptsWork() && !request.excludedHosts().contains(instance.host())) {
                usable.add(new Candidate(instance, stats(instance.host(), nowMs)));
            }
        }
        Candidate probe = dueProbe(request.criticality(), usable, nowMs);
        if (probe != null) {
            probe.stats().startProbe(nowMs);
            return Optional.of(probe.instance());
        }
        List<Candidate> healthy = new ArrayList<>(usable.size());
        for (Candidate candidate : usable) {
            if (!candidate.stats().isEjected()) {
                healthy.add(candidate);
            }
        }
        Candidate chosen = choose(request, healthy.isEmpty() ? usable : healthy, nowMs);
        return chosen == null ? Optional.empty() : Optional.of(chosen.instance());
    }

    @Override
    public synchronized Attempt start(Instance instance) {
        InstanceStats stats = stats(instance.host(), clock.monotonicMs());
        stats.onStart(clock.monotonicMs());
        return new CountedAttempt(stats);
    }

    /** Finds an ejected instance of the home region whose time is over, or of any region if none is left here. */
    private @Nullable Candidate dueProbe(Criticality criticality, List<Candidate> usable, double nowMs) {
        double overdueMs = criticality == Criticality.CRITICAL ? CRITICAL_PROBE_DELAY_MS : 0;
        boolean homeLeft = false;
        Candidate due = null;
        Candidate dueAtHome = null;
        for (Candidate candidate : usable) {
            boolean atHome = isInHomeRegion(candidate.instance());
            homeLeft |= atHome;
            if (candidate.stats().isProbeDue(nowMs, overdueMs)) {
                due = due == null ? candidate : due;
                dueAtHome = dueAtHome == null && atHome ? candidate : dueAtHome;
            }
        }
        return homeLeft ? dueAtHome : due;
    }

    private @Nullable Candidate choose(RoutingRequest request, List<Candidate> candidates, double nowMs) {
        List<Candidate> local = new ArrayList<>();
        List<Candidate> near = new ArrayList<>();
        List<Candidate> far = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (!isInHomeRegion(candidate.instance())) {
                far.add(candidate);
            } else if (candidate.instance().dataCentre().equals(home)) {
                local.add(candidate);
            } else {
                near.add(candidate);
            }
        }
        Criticality criticality = request.criticality();
        List<Candidate> preferred = local.isEmpty() || spills(criticality, local, near, nowMs) ? near : local;
        if (preferred == local && isBusierThan(local, near, nowMs)) {
            preferred = new ArrayList<>(local);
            preferred.addAll(near);
        }
        if (preferred.isEmpty()) {
            return best(criticality, far, nowMs);
        }
        Candidate here = best(criticality, preferred, nowMs);
        Candidate there = best(criticality, far, nowMs);
        return here != null && there != null && isWorthwhile(request, here, there, nowMs) ? there : here;
    }

    private boolean isInHomeRegion(Instance instance) {
        return instance.region().equals(homeRegion);
    }

    /** Tells whether this call belongs to the part that the data centre does not admit, and the region does. */
    private boolean spills(Criticality criticality, List<Candidate> local, List<Candidate> near, double nowMs) {
        double localFraction = admittedFraction(criticality, local, nowMs);
        return !near.isEmpty()
                && localFraction < 1
                && admittedFraction(criticality, near, nowMs) > localFraction
                && random.nextDouble() >= localFraction;
    }

    /** Tells whether the data centre is nearly full while the rest of the region has room. */
    private static boolean isBusierThan(List<Candidate> local, List<Candidate> near, double nowMs) {
        double localUse = utilisation(local, nowMs);
        return !near.isEmpty() && localUse >= BUSY_UTILISATION && utilisation(near, nowMs) < localUse;
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

    private boolean isWorthwhile(RoutingRequest request, Candidate here, Candidate there, double nowMs) {
        double hereMs = here.stats().latencyMs(nowMs) + refusalCostMs(request.criticality(), here, nowMs);
        double thereMs = there.stats().hasRecentLatency(nowMs)
                ? there.stats().unfadedLatencyMs()
                : lowestLatencyMs() + CROSS_REGION_ROUND_TRIP_MS;
        double savedMs = hereMs - thereMs - refusalCostMs(request.criticality(), there, nowMs);
        double priceMs = crossRegionPriceMsPerKib * (request.bodyBytes() / BYTES_PER_KIB);
        double doubtMs = Math.min(CROSS_REGION_DEVIATIONS * here.stats().deviationMs(), LARGEST_DOUBT_SHARE * hereMs);
        return savedMs > priceMs + doubtMs + LEAST_SAVING_MS;
    }

    private static double refusalCostMs(Criticality criticality, Candidate candidate, double nowMs) {
        return REFUSAL_MS * (1 - candidate.stats().admittedFraction(criticality, nowMs));
    }

    /** Estimates what the service takes by itself, as the lowest average that was seen of any instance. */
    private double lowestLatencyMs() {
        double lowestMs = Double.POSITIVE_INFINITY;
        for (InstanceStats stats : statsByHost.values()) {
            lowestMs = Math.min(lowestMs, stats.lowestLatencyMs());
        }
        return lowestMs;
    }

    /** Takes the better of two random candidates. */
    private @Nullable Candidate best(Criticality criticality, List<Candidate> candidates, double nowMs) {
        if (candidates.size() <= 1) {
            return candidates.isEmpty() ? null : candidates.getFirst();
        }
        int first = draw(candidates, -1, nowMs);
        int second = draw(candidates, first, nowMs);
        Candidate one = candidates.get(first);
        Candidate other = candidates.get(second);
        double unknownMs = averageLatencyMs(candidates, nowMs);
        return cost(criticality, one, unknownMs, nowMs) <= cost(criticality, other, unknownMs, nowMs) ? one : other;
    }

    private int draw(List<Candidate> candidates, int except, double nowMs) {
        double total = 0;
        for (int i = 0; i < candidates.size(); i++) {
            total += i == except ? 0 : weight(candidates.get(i), nowMs);
        }
        double point = random.nextDouble() * total;
        int last = -1;
        for (int i = 0; i < candidates.size(); i++) {
            if (i != except) {
                last = i;
                point -= weight(candidates.get(i), nowMs);
                if (point < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    /** Share in the draw: grows over the slow-start period. The longer of two ages counts, as clocks may differ. */
    private double weight(Candidate candidate, double nowMs) {
        if (rule.slowStartMs() == 0) {
            return 1;
        }
        double announcedMs = clock.nowMs() - candidate.instance().startedAtMs();
        double ageMs = Math.max(announcedMs, candidate.stats().ageMs(nowMs));
        return Math.clamp(ageMs / rule.slowStartMs(), COLDEST_WEIGHT, 1.0);
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
        return known == 0 ? LOWEST_LATENCY_MS : sumMs / known;
    }

    /** Expected latency times load, raised for an instance that refuses calls of this criticality. */
    private static double cost(Criticality criticality, Candidate candidate, double unknownMs, double nowMs) {
        InstanceStats stats = candidate.stats();
        double latencyMs = Math.max(LOWEST_LATENCY_MS, stats.hasLatency() ? stats.latencyMs(nowMs) : unknownMs);
        double own = (stats.inFlight() + 1.0) / candidate.instance().slots();
        double reported = stats.utilisation(nowMs);
        double admitted = Math.max(LOWEST_FRACTION, stats.admittedFraction(criticality, nowMs));
        return latencyMs * (own + reported) / admitted;
    }

    private InstanceStats stats(HostId host, double nowMs) {
        InstanceStats known = statsByHost.get(host);
        if (known == null) {
            known = new InstanceStats(nowMs);
            statsByHost.put(host, known);
        }
        return known;
    }

    private void cleanUp(double nowMs) {
        if (nowMs >= nextCleanUpMs) {
            nextCleanUpMs = nowMs + FORGOTTEN_MS;
            statsByHost.values().removeIf(stats -> stats.isIdleSince(nowMs - FORGOTTEN_MS));
        }
    }

    /** An instance with what was seen of it. */
    private record Candidate(Instance instance, InstanceStats stats) {}

    /** One counted attempt. */
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
                    stats.onFinish(result, latencyMs, load, clock.monotonicMs());
                }
            }
        }
    }
}
