package org.sequoianotch.policy.routing;

import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;

/**
 * What this node has seen of one instance.
 *
 * <p>This class is not thread-safe.
 */
final class InstanceStats {
    /** Latency that a fault counts as, so that an instance that fails fast does not look fast. */
    private static final double FAULT_PENALTY_MS = 1_000;
    /** Weight of a fault in the average, whatever the rate of calls. */
    private static final double FAULT_WEIGHT = 0.3;
    /** Time over which a latency sample loses its weight. */
    private static final double AVERAGING_MS = 500;
    /** Time over which the average of an instance without calls halves, so that it is tried again. */
    private static final double IDLE_HALF_LIFE_MS = 1_000;

    /** The average of fewer samples is too noisy for a minimum. */
    private static final int SAMPLES_FOR_LOWEST = 10;

    private static final double FRESH_LOAD_MS = 1_000;
    private static final double STALE_LATENCY_MS = 10_000;

    private static final int FAULTS_BEFORE_EJECTION = 5;
    private static final double FIRST_EJECTION_MS = 200;
    /** An instance is tried again after this time at the latest, so that goodput is back 2 s after a fault ends. */
    private static final double LONGEST_EJECTION_MS = 1_600;

    private final double firstSeenMs;
    private int inFlight;
    private double latencyMs;
    /** Mean distance of the samples from the average, over the same time as the average. */
    private double deviationMs;

    private double lowestLatencyMs = Double.POSITIVE_INFINITY;
    private long samples;
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

    void onFinish(AttemptResult result, double tookMs, @Nullable LoadReport report, double nowMs) {
        inFlight--;
        if (report != null) {
            load = report;
            loadAtMs = nowMs;
        }
        if (result == AttemptResult.SUCCEEDED) {
            consecutiveFaults = 0;
            ejected = false;
            ejectionMs = 0;
            sample(tookMs, 0, nowMs);
        } else if (result.isFault()) {
            sample(Math.max(tookMs, FAULT_PENALTY_MS), FAULT_WEIGHT, nowMs);
            onFault(nowMs);
        } else if (result == AttemptResult.REFUSED) {
            sample(Math.max(tookMs, Math.min(2 * latencyMs, FAULT_PENALTY_MS)), 0, nowMs);
        } else if (tookMs > latencyMs) {
            // A cancelled call would have taken at least this long, which counts only if it is more than expected.
            sample(tookMs, 0, nowMs);
        }
    }

    private void onFault(double nowMs) {
        consecutiveFaults++;
        // Calls that were in flight when the instance was ejected say nothing new.
        if (consecutiveFaults >= FAULTS_BEFORE_EJECTION && (!ejected || probing)) {
            eject(nowMs);
        }
    }

    private void eject(double nowMs) {
        ejected = true;
        probing = false;
        ejectionMs = Math.clamp(2 * ejectionMs, FIRST_EJECTION_MS, LONGEST_EJECTION_MS);
        ejectedUntilMs = nowMs + ejectionMs;
    }

    private void sample(double sampleMs, double lowestWeight, double nowMs) {
        double sinceMs = nowMs - sampledAtMs;
        double weight = Math.max(lowestWeight, 1 - Math.exp(-sinceMs / AVERAGING_MS));
        if (samples > 0) {
            deviationMs += weight * (Math.abs(sampleMs - latencyMs) - deviationMs);
        }
        latencyMs += weight * (sampleMs - latencyMs);
        sampledAtMs = nowMs;
        samples++;
        if (samples >= SAMPLES_FOR_LOWEST) {
            lowestLatencyMs = Math.min(lowestLatencyMs, latencyMs);
        }
    }

    boolean isEjected() {
        return ejected;
    }

    boolean isProbeDue(double nowMs, double overdueMs) {
        return ejected && nowMs >= ejectedUntilMs + overdueMs;
    }

    /** Puts the next probe off, so that one probe at a time is under way. */
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
        return nowMs - sampledAtMs < STALE_LATENCY_MS;
    }

    /** Returns the average latency, which fades while the instance gets no calls. */
    double latencyMs(double nowMs) {
        if (inFlight > 0 || !hasLatency()) {
            return latencyMs;
        }
        return latencyMs * Math.pow(0.5, (nowMs - sampledAtMs) / IDLE_HALF_LIFE_MS);
    }

    /** Returns the lowest average that was seen, or infinity if there were few samples. */
    double lowestLatencyMs() {
        return lowestLatencyMs;
    }

    double deviationMs() {
        return deviationMs;
    }

    double unfadedLatencyMs() {
        return latencyMs;
    }

    int inFlight() {
        return inFlight;
    }

    private @Nullable LoadReport freshLoad(double nowMs) {
        return nowMs - loadAtMs < FRESH_LOAD_MS ? load : null;
    }

    /** Returns the share of the limit that was in use by the last fresh report, or zero without one. */
    double utilisation(double nowMs) {
        LoadReport report = freshLoad(nowMs);
        return report == null ? 0 : report.utilisation();
    }

    /** Leaves out what the services below refuse, since other instances of this service would meet it too. */
    double admittedFraction(Criticality criticality, double nowMs) {
        LoadReport report = freshLoad(nowMs);
        return report == null ? 1 : report.admittedByInstance(criticality);
    }
}
