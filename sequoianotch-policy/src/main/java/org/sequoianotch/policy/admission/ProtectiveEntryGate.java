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
 * Entry gate that refuses excess calls at random, according to the admission levels that the instances reported.
 *
 * <p>The probability is derived from the average of the reported levels, weighted by slots. A report expires after 1 s;
 * its instance is then left out of the average, since this node sends it no calls. If all reports have expired and some
 * of them limited the calls, critical calls are admitted, and one other call per 100 ms as a probe, so that new reports
 * are received. A report is discarded 3 s after it was received.
 *
 * <p>Instances that name the requests per second that they take are left out as long as there are others, to which the
 * selector sends what they do not take. If all of them name one, the average is weighted by these rates.
 *
 * <p>This class is thread-safe.
 */
public final class ProtectiveEntryGate implements EntryGate {
    private static final double MAX_REPORT_AGE_MS = 1_000;
    private static final double REPORT_RETENTION_MS = 3_000;
    private static final double PROBE_INTERVAL_MS = 100;
    private static final int PERCENT = 100;
    /** Keeps the average defined if all instances take no requests at all. */
    private static final double MIN_RATE_WEIGHT = 0.01;

    private final Clock clock;
    private final RandomGenerator random;
    private final Map<HostId, ReportedLoad> loads = new HashMap<>();
    private double nextProbeMs = Double.NEGATIVE_INFINITY;
    private double nextEvictionMs = Double.NEGATIVE_INFINITY;

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
        evictOldReports(nowMs);
        ReportSum rateLimited = new ReportSum();
        ReportSum others = new ReportSum();
        boolean hasOther = false;
        for (Instance instance : instances) {
            ReportedLoad reported = loads.get(instance.host());
            if (reported == null || nowMs - reported.receivedAtMs() >= REPORT_RETENTION_MS) {
                hasOther = true;
            } else if (reported.load().isRateLimited()) {
                double weight = Math.max(MIN_RATE_WEIGHT, reported.load().maxRequestsPerS());
                rateLimited.add(reported, weight, criticality, nowMs);
            } else {
                hasOther = true;
                others.add(reported, instance.slots(), criticality, nowMs);
            }
        }
        ReportSum sum = hasOther ? others : rateLimited;
        if (sum.weight == 0) {
            return sum.hasExpiredLimit ? probe(criticality, nowMs) : Optional.empty();
        }
        double fraction = sum.admittedWeight / sum.weight;
        if (fraction >= 1 || random.nextDouble() < fraction) {
            return Optional.empty();
        }
        return Optional.of(
                refusal(criticality, "the instances admit %.0f%% of such calls".formatted(PERCENT * fraction)));
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

    private void evictOldReports(double nowMs) {
        if (nowMs >= nextEvictionMs) {
            nextEvictionMs = nowMs + REPORT_RETENTION_MS;
            loads.values().removeIf(reported -> nowMs - reported.receivedAtMs() >= REPORT_RETENTION_MS);
        }
    }

    /** Weighted sum of the admitted fractions of reports that have not expired. */
    private static final class ReportSum {
        private double weight;
        private double admittedWeight;
        private boolean hasExpiredLimit;

        void add(ReportedLoad reported, double reportWeight, Criticality criticality, double nowMs) {
            double fraction = reported.load().admittedFraction(criticality);
            if (nowMs - reported.receivedAtMs() < MAX_REPORT_AGE_MS) {
                weight += reportWeight;
                admittedWeight += reportWeight * fraction;
            } else {
                hasExpiredLimit |= fraction < 1;
            }
        }
    }

    /** A load report and the monotonic time at which it was received, in milliseconds. */
    private record ReportedLoad(LoadReport load, double receivedAtMs) {}
}
