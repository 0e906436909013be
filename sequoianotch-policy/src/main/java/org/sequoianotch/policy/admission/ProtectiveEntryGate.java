package org.sequoianotch.policy.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.time.Clock;

/**
 * Entry gate that refuses the surplus with a probability, by the admission levels that the instances reported.
 *
 * <p>The probability follows the average of the fresh levels, weighted by slots. An instance without a fresh level is
 * left out of the average, since this node sends it no calls. If all known levels have expired, critical calls pass,
 * and of the others one probe each 100 ms, so that the levels become known again. A level that nothing has refreshed
 * for 3 s is forgotten. This class is thread-safe.
 */
public final class ProtectiveEntryGate implements EntryGate {
    private static final double FRESH_MS = 1_000;
    private static final double FORGOTTEN_MS = 3_000;
    private static final double PROBE_INTERVAL_MS = 100;
    private static final int PERCENT = 100;

    private final Clock clock;
    private final RandomGenerator random;
    private final Map<HostId, ReportedLoad> loads = new HashMap<>();
    private double nextProbeMs = Double.NEGATIVE_INFINITY;
    private double nextCleanUpMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates the gate of one service at one node.
     *
     * @param clock the clock; not null
     * @param random source of randomness; not null
     */
    public ProtectiveEntryGate(Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    @Override
    public synchronized void observe(HostId host, LoadReport load) {
        loads.put(host, new ReportedLoad(load, clock.monotonicMs()));
    }

    @Override
    public synchronized Optional<Failure> check(Criticality criticality, List<Instance> instances) {
        double nowMs = clock.monotonicMs();
        cleanUp(nowMs);
        double slots = 0;
        double admittedSlots = 0;
        boolean expired = false;
        for (Instance instance : instances) {
            ReportedLoad reported = loads.get(instance.host());
            if (reported != null && nowMs - reported.atMs() < FRESH_MS) {
                slots += instance.slots();
                admittedSlots += instance.slots() * reported.load().admittedFraction(criticality);
            } else if (reported != null && nowMs - reported.atMs() < FORGOTTEN_MS) {
                expired |= reported.load().admittedFraction(criticality) < 1;
            }
        }
        if (slots == 0) {
            return expired ? probe(criticality, nowMs) : Optional.empty();
        }
        double fraction = admittedSlots / slots;
        if (fraction >= 1 || random.nextDouble() < fraction) {
            return Optional.empty();
        }
        return Optional.of(refusal(criticality, "the instances admit %.0f%% of these".formatted(PERCENT * fraction)));
    }

    private Optional<Failure> probe(Criticality criticality, double nowMs) {
        if (criticality == Criticality.CRITICAL) {
            return Optional.empty();
        }
        if (nowMs >= nextProbeMs) {
            nextProbeMs = nowMs + PROBE_INTERVAL_MS;
            return Optional.empty();
        }
        return Optional.of(refusal(criticality, "the instances were overloaded when they last reported their load"));
    }

    private static Failure refusal(Criticality criticality, String reason) {
        return Failure.of(
                ErrorKind.OVERLOADED,
                "The entry node refused a " + criticality.code() + " call, because " + reason + ".");
    }

    private void cleanUp(double nowMs) {
        if (nowMs >= nextCleanUpMs) {
            nextCleanUpMs = nowMs + FORGOTTEN_MS;
            loads.values().removeIf(reported -> nowMs - reported.atMs() >= FORGOTTEN_MS);
        }
    }

    /** A load report and the monotonic time at which it came, in milliseconds. */
    private record ReportedLoad(LoadReport load, double atMs) {}
}
