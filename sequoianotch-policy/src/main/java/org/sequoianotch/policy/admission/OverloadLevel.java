package org.sequoianotch.policy.admission;

import java.util.Arrays;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.LoadReport;

/**
 * Admission level of one instance, and the slots that it keeps for more important calls.
 *
 * <p>Both are evaluated each 100 ms. If more than 5% of the calls that arrived were refused for load, or if the calls
 * waited longer than half of the queue time limit, the level falls by half of what would remove the surplus, beginning
 * at the least important calls. A surplus of 10% of the calls started is left, so that the slots stay in use. Half is
 * taken because some of the calls of the next 100 ms were sent before their entry nodes learnt of the new level.
 * Otherwise the level rises in steps that grow, so that it returns from 1 to 3 within about 1 s.
 *
 * <p>If a critical call is refused or waits long, a number of slots is kept from standard calls and twice that number
 * from sheddable calls. It is given back step by step when critical calls no longer wait.
 *
 * <p>This class is not thread-safe.
 */
final class OverloadLevel {
    private static final double INTERVAL_MS = 100;
    private static final int CLASSES = Criticality.values().length;
    private static final double TOLERATED_SURPLUS = 0.05;
    private static final double KEPT_SURPLUS = 0.1;
    private static final double DAMPING = 0.5;
    private static final double LONG_WAIT_SHARE = 0.5;
    private static final double CRITICAL_WAIT_SHARE = 0.25;
    private static final double FIRST_RISE = 0.05;
    private static final double RISE_GROWTH = 1.5;
    private static final double LARGEST_RISE = 0.4;
    /** Some calls are always asked for, because without any the node could not tell that the overload has ended. */
    private static final double LOWEST_LEVEL = 0.1;
    /** Intervals without a long wait of a critical call before kept slots are given back. */
    private static final int CALM_INTERVALS = 5;

    private final double queueTimeMs;
    private final int[] arrived = new int[CLASSES];
    private int refused;
    private int started;
    private int waits;
    private double waitSumMs;
    private boolean criticalInDistress;

    private double intervalStartMs;
    private double level = LoadReport.ADMIT_ALL;
    private double rise = FIRST_RISE;
    private double keptSlots;
    private int calmIntervals;

    OverloadLevel(long queueTimeMs, double nowMs) {
        this.queueTimeMs = queueTimeMs;
        this.intervalStartMs = nowMs;
    }

    double level() {
        return level;
    }

    /** Returns the calls that may be in flight for a call of the given criticality to start. */
    int limitFor(Criticality criticality, int limit) {
        int kept = (int) (keptSlots * criticality.ordinal());
        return Math.max(criticality == Criticality.SHEDDABLE ? 0 : 1, limit - kept);
    }

    void onArrival(Criticality criticality) {
        arrived[criticality.ordinal()]++;
    }

    void onStart(Criticality criticality, double waitedMs) {
        started++;
        onWait(criticality, waitedMs);
    }

    /** Counts a call that was refused for load, not because of its own deadline. */
    void onRefusal(Criticality criticality, double waitedMs) {
        refused++;
        onWait(criticality, waitedMs);
        criticalInDistress |= criticality == Criticality.CRITICAL;
    }

    private void onWait(Criticality criticality, double waitedMs) {
        waits++;
        waitSumMs += waitedMs;
        criticalInDistress |= criticality == Criticality.CRITICAL && waitedMs > CRITICAL_WAIT_SHARE * queueTimeMs;
    }

    /** Closes the interval if it is over. */
    void advance(double nowMs, int limit) {
        double elapsedMs = nowMs - intervalStartMs;
        if (elapsedMs < INTERVAL_MS) {
            return;
        }
        int intervals = (int) Math.min(elapsedMs / INTERVAL_MS, LoadReport.ADMIT_ALL / FIRST_RISE);
        moveLevel(intervals);
        moveKeptSlots(intervals, limit);
        intervalStartMs = nowMs;
        Arrays.fill(arrived, 0);
        refused = 0;
        started = 0;
        waits = 0;
        waitSumMs = 0;
        criticalInDistress = false;
    }

    private void moveLevel(int intervals) {
        int total = arrived[0] + arrived[1] + arrived[2];
        boolean longWaits = waits > 0 && waitSumMs / waits > LONG_WAIT_SHARE * queueTimeMs;
        if (refused > 1 && refused > TOLERATED_SURPLUS * total || longWaits) {
            double surplus = Math.max(refused - KEPT_SURPLUS * started, longWaits ? KEPT_SURPLUS * total : 0);
            cut(DAMPING * Math.max(0, surplus));
            rise = FIRST_RISE;
            return;
        }
        for (int i = 0; i < intervals && level < LoadReport.ADMIT_ALL; i++) {
            level = Math.min(LoadReport.ADMIT_ALL, level + rise);
            rise = Math.min(LARGEST_RISE, rise * RISE_GROWTH);
        }
    }

    /** Lowers the level so that about as many calls fewer arrive, from the least important ones up. */
    private void cut(double calls) {
        double left = calls;
        for (int i = CLASSES - 1; i >= 0 && left > 0; i--) {
            double fraction = Math.clamp(level - i, 0.0, 1.0);
            if (fraction > 0) {
                double part = arrived[i] == 0 ? 1 : Math.min(1, left / arrived[i]);
                level = Math.max(LOWEST_LEVEL, i + fraction * (1 - part));
                left -= arrived[i];
            }
        }
    }

    private void moveKeptSlots(int intervals, int limit) {
        if (criticalInDistress) {
            calmIntervals = 0;
            keptSlots = Math.min(limit, Math.max(keptSlots + 1, keptSlots * RISE_GROWTH));
            return;
        }
        calmIntervals += intervals;
        if (calmIntervals > CALM_INTERVALS) {
            keptSlots = Math.max(0, keptSlots - intervals * Math.max(0.25, keptSlots / 8));
        }
    }
}
