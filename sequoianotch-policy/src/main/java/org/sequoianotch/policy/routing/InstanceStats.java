package org.sequoianotch.policy.routing;

import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;

/**
 * Latency, faults, load and calls in flight that this node observed at one instance.
 *
 * <p>This class is not thread-safe.
 */
final class InstanceStats {
    /** Minimum latency that is recorded for a fault, so that an instance that fails fast does not appear fast. */
    private static final double FAULT_PENALTY_MS = 1_000;
    /** Minimum weight of a fault in the average, regardless of the call rate. */
    private static final double FAULT_WEIGHT = 0.3;
    /** Time constant of the exponentially weighted averages. */
    private static final double AVERAGE_TIME_CONSTANT_MS = 500;
    /** Half-life of the average latency of an instance without calls, so that a slow one is tried again. */
    private static final double IDLE_HALF_LIFE_MS = 1_000;

    /** Averages of fewer samples are too noisy to take a minimum of. */
    private static final int MIN_SAMPLES_FOR_LOWEST = 10;

    static final double MAX_LOAD_AGE_MS = 1_000;
    private static final double MAX_LATENCY_AGE_MS = 10_000;

    private static final int FAULTS_BEFORE_EJECTION = 5;
    private static final double INITIAL_EJECTION_MS = 200;
    /** An instance is probed after this time at the latest, so that goodput recovers within 2 s after a fault ends. */
    private static final double MAX_EJECTION_MS = 1_600;

    private final double firstSeenMs;
    private int inFlight;
    private double latencyMs;
    /** Mean absolute deviation of the samples, averaged with the same time constant. */
    private double deviationMs;

    private double lowestLatencyMs = Double.POSITIVE_INFINITY;
    private long sampleCount;
    private double sampledAtMs = Double.NEGATIVE_INFINITY;
    private int consecutiveFaults;
    private boolean ejected;
    private boolean probing;
    private double ejectionMs;
    private double ejectedUntilMs;
    private @Nullable LoadReport load;
    private double loadAtMs;
    private double usedAtMs;

    InstanceStats(double nowMs) {
        this.firstSeenMs = nowMs;
        this.usedAtMs = nowMs;
    }

    void onStart(double nowMs) {
        inFlight++;
        usedAtMs = nowMs;
    }

    void onFinish(AttemptResult result, double elapsedMs, @Nullable LoadReport report, double nowMs) {
        inFlight--;
        if (report != null) {
            load = report;
            loadAtMs = nowMs;
        }
        if (result == AttemptResult.SUCCEEDED) {
            consecutiveFaults = 0;
            ejected = false;
            ejectionMs = 0;
            addSample(elapsedMs, 0, nowMs);
        } else if (result.isFault()) {
            addSample(Math.max(elapsedMs, FAULT_PENALTY_MS), FAULT_WEIGHT, nowMs);
            onFault(nowMs);
        } else if (result == AttemptResult.REFUSED) {
            addSample(Math.max(elapsedMs, Math.min(2 * latencyMs, FAULT_PENALTY_MS)), 0, nowMs);
        } else if (elapsedMs > latencyMs) {
            // A cancelled call would have taken at least this long, so it is recorded only if it exceeds the average.
            addSample(elapsedMs, 0, nowMs);
        }
    }

    private void onFault(double nowMs) {
        consecutiveFaults++;
        // Calls that were in flight when the instance was ejected give no new information.
        if (consecutiveFaults >= FAULTS_BEFORE_EJECTION && (!ejected || probing)) {
            eject(nowMs);
        }
    }

    private void eject(double nowMs) {
        ejected = true;
        probing = false;
        ejectionMs = Math.clamp(2 * ejectionMs, INITIAL_EJECTION_MS, MAX_EJECTION_MS);
        ejectedUntilMs = nowMs + ejectionMs;
    }

    private void addSample(double sampleMs, double minWeight, double nowMs) {
        double sinceMs = nowMs - sampledAtMs;
        double weight = Math.max(minWeight, 1 - Math.exp(-sinceMs / AVERAGE_TIME_CONSTANT_MS));
        if (sampleCount > 0) {
            deviationMs += weight * (Math.abs(sampleMs - latencyMs) - deviationMs);
        }
        latencyMs += weight * (sampleMs - latencyMs);
        sampledAtMs = nowMs;
        sampleCount++;
        if (sampleCount >= MIN_SAMPLES_FOR_LOWEST) {
            lowestLatencyMs = Math.min(lowestLatencyMs, latencyMs);
        }
    }

    boolean isEjected() {
        return ejected;
    }

    boolean isProbeDue(double nowMs, double extraDelayMs) {
        return ejected && nowMs >= ejectedUntilMs + extraDelayMs;
    }

    /** Postpones the next probe, so that only one probe is in flight at a time. */
    void startProbe(double nowMs) {
        probing = true;
        ejectedUntilMs = nowMs + ejectionMs;
    }

    boolean isIdleSince(double timeMs) {
        return inFlight == 0 && usedAtMs < timeMs;
    }

    double ageMs(double nowMs) {
        return nowMs - firstSeenMs;
    }

    boolean hasLatency() {
        return sampledAtMs > Double.NEGATIVE_INFINITY;
    }

    boolean hasRecentLatency(double nowMs) {
        return nowMs - sampledAtMs < MAX_LATENCY_AGE_MS;
    }

    /** Returns the average latency, which decays while the instance receives no calls. */
    double latencyMs(double nowMs) {
        if (inFlight > 0 || !hasLatency()) {
            return latencyMs;
        }
        return latencyMs * Math.pow(0.5, (nowMs - sampledAtMs) / IDLE_HALF_LIFE_MS);
    }

    /** Returns the lowest average so far, or infinity if there were too few samples. */
    double lowestLatencyMs() {
        return lowestLatencyMs;
    }

    double deviationMs() {
        return deviationMs;
    }

    double undecayedLatencyMs() {
        return latencyMs;
    }

    int inFlight() {
        return inFlight;
    }

    private @Nullable LoadReport freshLoad(double nowMs) {
        return nowMs - loadAtMs < MAX_LOAD_AGE_MS ? load : null;
    }

    /** Returns the utilisation from the last load report, or zero if it is too old. */
    double utilisation(double nowMs) {
        LoadReport report = freshLoad(nowMs);
        return report == null ? 0 : report.utilisation();
    }

    /** Returns whether the instance named the requests per second that it takes in the last load report. */
    boolean isRateLimited(double nowMs) {
        LoadReport report = freshLoad(nowMs);
        return report != null && report.isRateLimited();
    }

    /** Ignores what downstream services refuse, since it affects the other instances of this service as well. */
    double admittedFraction(Criticality criticality, double nowMs) {
        LoadReport report = freshLoad(nowMs);
        return report == null ? 1 : report.fractionAdmittedByInstance(criticality);
    }
}
