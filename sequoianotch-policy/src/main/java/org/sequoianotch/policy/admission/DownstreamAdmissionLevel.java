package org.sequoianotch.policy.admission;

import java.util.Arrays;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;

/**
 * Admission level that adapts to the calls that the backend server started and then shed.
 *
 * <p>Most of these fail because a downstream service refused a sub-call. The work on them is wasted, so that it is
 * better to refuse them at the entry node. If more than 2% of the calls end this way, the level is lowered: it admits
 * fewer calls of the most important affected criticality, critical calls excepted, and no less important calls. A
 * decrease from the maximum needs a higher fraction. If at most 1% of the calls end this way, the level is raised: by
 * small, equal steps until 1.5 s after a decrease, so that a lasting overload is approached slowly, then by growing
 * steps.
 *
 * <p>A decrease has no effect if the calls fail for another reason than their number, for example because a downstream
 * service is down. If the few non-critical calls that remain near the minimum level are shed as before, and others
 * succeeded before the decrease, the level returns to the maximum and is held there for a time that grows with each
 * repetition.
 *
 * <p>This class is not thread-safe.
 */
final class DownstreamAdmissionLevel {
    private static final double INTERVAL_MS = 200;
    private static final int CRITICALITY_COUNT = Criticality.values().length;
    private static final double TOLERATED_SHED_FRACTION = 0.02;
    /** Among fewer calls, the shed ones may be retries of a single request, which do not represent the others. */
    private static final int MIN_CALLS = 20;

    /**
     * A smaller fraction does not start a decrease, because bursts at light load shed a few calls, and refusing others
     * for them costs more than it saves. Once the level is below the maximum, the tolerated fraction applies.
     */
    private static final double FIRST_DECREASE_SHED_FRACTION = 0.2;

    /** An interval with shed calls but fewer than the minimum of calls is extended up to this length. */
    private static final double MAX_INTERVAL_MS = 2_000;

    /** A criticality is limited if over this fraction of its calls is shed; all less important ones are refused. */
    private static final double AFFECTED_SHED_FRACTION = 0.05;
    /** Fraction of the shed calls that a decrease removes, since other and downstream instances adapt as well. */
    private static final double DAMPING = 0.6;
    /** Damping at the onset of an overload, while the level is above {@link #ONSET_LEVEL}. */
    private static final double ONSET_DAMPING = 0.9;

    private static final double ONSET_LEVEL = 2;
    /** An interval ends early after this many calls if many were shed, which indicates the onset of an overload. */
    private static final int ONSET_CALLS = 20;

    private static final double ONSET_SHED_FRACTION = 0.2;
    /** Time until entry nodes apply a lower level; calls that are admitted earlier are not counted. */
    private static final double PROPAGATION_MS = 150;

    private static final double INITIAL_STEP = 0.02;
    private static final double STEP_GROWTH_FACTOR = 1.8;
    private static final double MAX_STEP = 0.5;
    /** Time after a decrease during which the steps do not grow. */
    private static final double CONSTANT_STEP_MS = 1500;

    /** Critical calls are refused only because of the instance's own queue, not because of downstream services. */
    private static final int FIRST_LIMITED_CRITICALITY = 1;
    /** Admits a few non-critical calls, which show whether the decrease was effective. */
    private static final double MIN_LEVEL = 1.05;

    private static final double NEAR_MIN_LEVEL = 1.12;
    /** A decrease is effective if it reduces the shed fraction of non-critical calls below this part of its value. */
    private static final double IMPROVEMENT_FACTOR = 0.6;
    /** Non-critical calls near the minimum level that are needed to evaluate a decrease. */
    private static final int EVALUATION_CALLS = 30;
    /**
     * If more than this fraction of the non-critical calls is shed, a decrease refuses hardly any call that would
     * succeed, so that it is never reverted.
     */
    private static final double NEARLY_ALL_SHED_FRACTION = 0.75;

    private static final double INITIAL_HOLD_MS = 2_000;
    private static final double MAX_HOLD_MS = 30_000;

    private final int[] ended = new int[CRITICALITY_COUNT];
    private final int[] shed = new int[CRITICALITY_COUNT];
    private double intervalStartMs;
    private double countedFromMs = Double.NEGATIVE_INFINITY;
    private double level = LoadReport.ADMIT_ALL;
    private double step = INITIAL_STEP;

    private double shedFractionBeforeDecrease;
    private int evaluatedCalls;
    private int evaluatedShedCalls;
    private double holdMs;
    private double holdUntilMs = Double.NEGATIVE_INFINITY;

    DownstreamAdmissionLevel(double nowMs) {
        this.intervalStartMs = nowMs;
    }

    double level() {
        return level;
    }

    void onEnd(Criticality criticality, double admittedAtMs, CallResult result) {
        if (result != CallResult.CANCELLED && admittedAtMs >= countedFromMs) {
            ended[criticality.ordinal()]++;
            shed[criticality.ordinal()] += result.isSignOfOverload() || result == CallResult.SHED_DOWNSTREAM ? 1 : 0;
        }
    }

    /** Evaluates the calls that ended in the interval, if it is over. Without calls the level is raised. */
    void update(double nowMs) {
        int calls = ended[0] + ended[1] + ended[2];
        int shedCalls = shed[0] + shed[1] + shed[2];
        double shedFraction = (double) shedCalls / Math.max(1, calls);
        boolean isOnset = level > ONSET_LEVEL && calls >= ONSET_CALLS && shedFraction > ONSET_SHED_FRACTION;
        if (nowMs - intervalStartMs < INTERVAL_MS && !isOnset) {
            return;
        }
        if (calls < MIN_CALLS && shedCalls > 0 && nowMs - intervalStartMs < MAX_INTERVAL_MS) {
            return;
        }
        evaluateDecrease();
        boolean overloaded =
                calls >= MIN_CALLS && shedFraction > FIRST_DECREASE_SHED_FRACTION || level < LoadReport.ADMIT_ALL;
        if (shedFraction <= TOLERATED_SHED_FRACTION / 2) {
            increase(nowMs);
        } else if (overloaded && shedFraction > TOLERATED_SHED_FRACTION && shedCalls > 1 && nowMs >= holdUntilMs) {
            decrease(nowMs);
        }
        intervalStartMs = nowMs;
        Arrays.fill(ended, 0);
        Arrays.fill(shed, 0);
    }

    private void increase(double nowMs) {
        level = Math.min(LoadReport.ADMIT_ALL, level + step);
        if (nowMs >= countedFromMs + CONSTANT_STEP_MS) {
            step = Math.min(MAX_STEP, step * STEP_GROWTH_FACTOR);
        }
        if (level >= LoadReport.ADMIT_ALL && nowMs >= holdUntilMs + holdMs) {
            holdMs = 0;
        }
    }

    private void decrease(double nowMs) {
        int nonCriticalCalls = ended[1] + ended[2];
        double nonCriticalShedFraction = (double) (shed[1] + shed[2]) / Math.max(1, nonCriticalCalls);
        if (level >= LoadReport.ADMIT_ALL) {
            shedFractionBeforeDecrease = nonCriticalShedFraction;
        } else if (level > NEAR_MIN_LEVEL && nonCriticalCalls >= ONSET_CALLS) {
            // The first calls of an overload still succeed, so the highest fraction is used.
            shedFractionBeforeDecrease = Math.max(shedFractionBeforeDecrease, nonCriticalShedFraction);
        }
        if (isDecreaseIneffective()) {
            level = LoadReport.ADMIT_ALL;
            holdMs = Math.clamp(2 * holdMs, INITIAL_HOLD_MS, MAX_HOLD_MS);
            holdUntilMs = nowMs + holdMs;
            return;
        }
        for (int i = FIRST_LIMITED_CRITICALITY; i < CRITICALITY_COUNT; i++) {
            double criticalityShedFraction = (double) shed[i] / Math.max(1, ended[i]);
            if (criticalityShedFraction > AFFECTED_SHED_FRACTION) {
                double admitted = Math.clamp(level - i, 0.0, 1.0);
                level = Math.min(
                        level,
                        i + admitted * (1 - (level > ONSET_LEVEL ? ONSET_DAMPING : DAMPING) * criticalityShedFraction));
                break;
            }
        }
        level = Math.max(MIN_LEVEL, level);
        step = INITIAL_STEP;
        countedFromMs = nowMs + PROPAGATION_MS;
    }

    private void evaluateDecrease() {
        if (level > NEAR_MIN_LEVEL || evaluatedCalls >= EVALUATION_CALLS) {
            evaluatedCalls = 0;
            evaluatedShedCalls = 0;
        }
        if (level <= NEAR_MIN_LEVEL) {
            evaluatedCalls += ended[1] + ended[2];
            evaluatedShedCalls += shed[1] + shed[2];
        }
    }

    private boolean isDecreaseIneffective() {
        return evaluatedCalls >= EVALUATION_CALLS
                && shedFractionBeforeDecrease < NEARLY_ALL_SHED_FRACTION
                && evaluatedShedCalls > IMPROVEMENT_FACTOR * shedFractionBeforeDecrease * evaluatedCalls;
    }
}
