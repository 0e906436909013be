package org.sequoianotch.policy.admission;

import java.util.Arrays;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;

/**
 * Admission level of one instance, and the number of slots that it reserves for more important calls.
 *
 * <p>The level is updated every 100 ms. It is lowered if the refused calls of a criticality exceed 40% of the calls
 * that started (100% if all are sub-calls). It then admits no less important calls, and fewer calls of this
 * criticality. Refusals of calls that arrived before the last decrease are not counted, because they do not reflect its
 * effect. Only a part of the excess is removed at a time, because other nodes learn the new level only with their next
 * response. The tolerated excess keeps the slots in use, and refusing it takes no work of the backend server. While few
 * calls are refused, the level is raised in growing steps, so that it returns from 1 to 3 within about 1 s.
 *
 * <p>Standard calls may not use the reserved slots, and sheddable calls may not use twice their number. Each critical
 * call that is refused or waits for most of the queue time limit adds to the reservation. Each other critical call and
 * the passing of time reduce it a little, so that no more slots are reserved than critical calls need.
 *
 * <p>This class is not thread-safe.
 */
final class InstanceAdmissionLevel {
    private static final double INTERVAL_MS = 100;
    private static final int CRITICALITY_COUNT = Criticality.values().length;
    private static final double TOLERATED_REFUSAL_RATIO = 0.4;
    /**
     * Higher for sub-calls, since earlier refusal does not save the work that their requests have already cost; the
     * levels of the calling instances adapt instead.
     */
    private static final double TOLERATED_SUB_CALL_REFUSAL_RATIO = 1.0;
    /** The level is raised if the refused calls are at most this fraction of the tolerated ones. */
    private static final double INCREASE_THRESHOLD = 0.65;

    private static final double DAMPING = 0.3;
    private static final double LONG_WAIT_FRACTION = 0.9;
    private static final double RESERVED_SLOTS_PER_LONG_WAIT = 0.15;
    private static final double RELEASED_SLOTS_PER_SHORT_WAIT = 0.004;
    /** Releases the reserved slots when no more critical calls arrive. */
    private static final double RELEASED_SLOTS_PER_INTERVAL = 0.1;

    private static final double INITIAL_STEP = 0.05;
    private static final double STEP_GROWTH_FACTOR = 1.5;
    private static final double MAX_STEP = 0.4;
    /** Some calls are always admitted, because without any the node could not detect the end of an overload. */
    private static final double MIN_LEVEL = 0.1;

    private final double queueTimeMs;
    private final int[] arrived = new int[CRITICALITY_COUNT];
    private final int[] refusedSinceDecrease = new int[CRITICALITY_COUNT];
    private int refusedInTotal;
    private int started;
    private int subCalls;

    private double intervalStartMs;
    private double decreasedAtMs = Double.NEGATIVE_INFINITY;
    private double level = LoadReport.ADMIT_ALL;
    private double step = INITIAL_STEP;
    private double reservedSlots;

    InstanceAdmissionLevel(long queueTimeMs, double nowMs) {
        this.queueTimeMs = queueTimeMs;
        this.intervalStartMs = nowMs;
    }

    double level() {
        return level;
    }

    /** Returns the limit on calls in flight that applies to the start of a call of the given criticality. */
    int limitFor(Criticality criticality, int limit) {
        int reserved = (int) (reservedSlots * criticality.ordinal());
        return Math.max(criticality == Criticality.SHEDDABLE ? 0 : 1, limit - reserved);
    }

    void onArrival(Criticality criticality, int depth) {
        arrived[criticality.ordinal()]++;
        subCalls += depth > 0 ? 1 : 0;
    }

    void onStart(Criticality criticality, double waitedMs, int limit) {
        started++;
        onWait(criticality, waitedMs > LONG_WAIT_FRACTION * queueTimeMs, limit);
    }

    /** Counts a call that was refused because of load rather than its own deadline. */
    void onRefusal(Criticality criticality, double arrivedAtMs, int limit) {
        countRefusal(criticality, arrivedAtMs);
        onWait(criticality, true, limit);
    }

    /** Counts a call that was refused because of a rate, which reserved slots would not change. */
    void onRateRefusal(Criticality criticality, double arrivedAtMs) {
        countRefusal(criticality, arrivedAtMs);
    }

    private void countRefusal(Criticality criticality, double arrivedAtMs) {
        refusedInTotal++;
        if (arrivedAtMs >= decreasedAtMs) {
            refusedSinceDecrease[criticality.ordinal()]++;
        }
    }

    private void onWait(Criticality criticality, boolean isLong, int limit) {
        if (criticality == Criticality.CRITICAL) {
            reservedSlots = Math.clamp(
                    reservedSlots + (isLong ? RESERVED_SLOTS_PER_LONG_WAIT : -RELEASED_SLOTS_PER_SHORT_WAIT), 0, limit);
        }
    }

    /** Evaluates and closes the current interval if it has ended. */
    void update(double nowMs) {
        double elapsedMs = nowMs - intervalStartMs;
        if (elapsedMs < INTERVAL_MS) {
            return;
        }
        int intervals = (int) Math.min(elapsedMs / INTERVAL_MS, LoadReport.ADMIT_ALL / INITIAL_STEP);
        updateLevel(intervals, nowMs);
        reservedSlots = Math.max(0, reservedSlots - intervals * RELEASED_SLOTS_PER_INTERVAL);
        intervalStartMs = nowMs;
        Arrays.fill(arrived, 0);
        Arrays.fill(refusedSinceDecrease, 0);
        refusedInTotal = 0;
        started = 0;
        subCalls = 0;
    }

    private void updateLevel(int intervals, double nowMs) {
        double subCallShare = (double) subCalls / Math.max(1, arrived[0] + arrived[1] + arrived[2]);
        double tolerated = started
                * (TOLERATED_REFUSAL_RATIO
                        + subCallShare * (TOLERATED_SUB_CALL_REFUSAL_RATIO - TOLERATED_REFUSAL_RATIO));
        for (int i = 0; i < CRITICALITY_COUNT; i++) {
            double excess = refusedSinceDecrease[i] - tolerated;
            if (refusedSinceDecrease[i] > 1 && excess > 0) {
                double admitted = Math.clamp(level - i, 0.0, 1.0);
                double cut = Math.min(1, DAMPING * excess / Math.max(1, arrived[i]));
                // A single interval with refused critical calls may be a burst, so the other calls are refused first.
                boolean sparesCriticalCalls = i == 0 && level > 1;
                level = sparesCriticalCalls ? 1 : Math.max(MIN_LEVEL, i + admitted * (1 - cut));
                step = INITIAL_STEP;
                decreasedAtMs = nowMs;
                return;
            }
        }
        if (refusedInTotal > INCREASE_THRESHOLD * tolerated) {
            return;
        }
        for (int i = 0; i < intervals && level < LoadReport.ADMIT_ALL; i++) {
            level = Math.min(LoadReport.ADMIT_ALL, level + step);
            step = Math.min(MAX_STEP, step * STEP_GROWTH_FACTOR);
        }
    }
}
