package org.sequoianotch.policy.admission;

/**
 * Concurrency limit of one instance, measured from the calls that end.
 *
 * <p>Calls are evaluated in windows. If the latency in a window is above its baseline, or the backend server shows
 * signs of overload, while the limit is in use, the limit is lowered as a trial. If the trial lowers the rate of
 * answers about as much as it lowered the limit, the latency does not come from the number of calls at this instance
 * (for example because a service further down is slow). The limit is then restored, and the next trial is put off.
 * Otherwise the lower limit is kept. The limit rises again in each window that is in use and not slow.
 *
 * <p>This class is not thread-safe.
 */
final class ConcurrencyLimit {
    private static final double WINDOW_MS = 100;
    /** A window with few calls is closed after this time, so that the limit also moves under light load. */
    private static final double LONGEST_WINDOW_MS = 1_000;

    private static final int FEWEST_SAMPLES = 8;
    private static final int MOST_SAMPLES = 50;
    private static final double SLOW_FACTOR = 2.0;
    /** Differences below this are noise of timers and scheduling. */
    private static final double SLOW_MARGIN_MS = 2.0;

    private static final double OVERLOAD_SHARE = 0.05;
    private static final double LATENCY_USE = 0.8;
    private static final double OVERLOAD_USE = 0.5;
    private static final double FALL_FACTOR = 0.75;
    private static final double RISE_FACTOR = 1.25;
    /** The limit falls to this share of the cap at most, so that it can return to the cap within 2 s. */
    private static final int FLOOR_DIVISOR = 8;

    private static final double FIRST_HOLD_MS = 1_000;
    private static final double LONGEST_HOLD_MS = 8_000;
    /** Lets the baseline follow a lasting change: it doubles in about 140 s. */
    private static final double BASELINE_DRIFT_PER_MS = 0.005 / 1_000;

    private final int cap;
    private final double floor;
    private double limit;
    private double baselineMs = Double.NaN;

    private double windowStartMs;
    private double countFromMs = Double.NEGATIVE_INFINITY;
    private int answered;
    private int overloads;
    private double latencySumMs;
    private long inFlightSum;
    private int peakInFlight;

    private boolean inTrial;
    private double limitBeforeTrial;
    private double rateBeforeTrial;
    private double holdMs;
    private double holdUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * Starts at half of the cap, because nothing is known about the backend server yet.
     *
     * @param cap the highest limit; at least 1
     * @param nowMs monotonic time in milliseconds
     */
    ConcurrencyLimit(int cap, double nowMs) {
        this.cap = cap;
        this.floor = Math.max(1, cap / FLOOR_DIVISOR);
        this.limit = Math.max(floor, Math.ceil(cap / 2.0));
        this.windowStartMs = nowMs;
    }

    int current() {
        return (int) limit;
    }

    /** Takes in one call that ended. Results that say nothing about the load are ignored. */
    void onEnd(double admittedAtMs, double nowMs, CallResult result, double latencyMs, int inFlight) {
        if (result == CallResult.CANCELLED || result == CallResult.FAILED || admittedAtMs < countFromMs) {
            return;
        }
        if (result.isSignOfOverload()) {
            overloads++;
        } else {
            answered++;
            latencySumMs += latencyMs;
        }
        inFlightSum += inFlight;
        peakInFlight = Math.max(peakInFlight, inFlight);
        double elapsedMs = nowMs - windowStartMs;
        boolean enough = samples() >= Math.clamp((long) limit, FEWEST_SAMPLES, MOST_SAMPLES);
        if (elapsedMs >= WINDOW_MS && enough || elapsedMs >= LONGEST_WINDOW_MS) {
            closeWindow(nowMs, elapsedMs);
        }
    }

    private int samples() {
        return answered + overloads;
    }

    private void closeWindow(double nowMs, double elapsedMs) {
        moveBaseline(elapsedMs);
        boolean slow = answered > 0 && averageMs() > SLOW_FACTOR * baselineMs + SLOW_MARGIN_MS;
        boolean overloaded = overloads > 1 && overloads > OVERLOAD_SHARE * samples();
        double use = peakInFlight / Math.floor(limit);
        if (inTrial) {
            endTrial(nowMs);
        } else if (!slow && !overloaded) {
            holdMs = 0;
            holdUntilMs = Double.NEGATIVE_INFINITY;
            if (use >= LATENCY_USE) {
                limit = Math.min(cap, limit * RISE_FACTOR + 1);
            }
        } else if (nowMs < holdUntilMs) {
            if (use >= LATENCY_USE) {
                limit = Math.min(cap, limit + 1);
            }
        } else if (limit > floor && (slow && use >= LATENCY_USE || overloaded && use >= OVERLOAD_USE)) {
            startTrial(nowMs);
        }
        startWindow(nowMs);
    }

    private void moveBaseline(double elapsedMs) {
        if (answered > 0) {
            double drifted = baselineMs * (1 + BASELINE_DRIFT_PER_MS * elapsedMs);
            baselineMs = Double.isNaN(baselineMs) ? averageMs() : Math.min(drifted, averageMs());
        }
    }

    private void startTrial(double nowMs) {
        inTrial = true;
        limitBeforeTrial = limit;
        rateBeforeTrial = answerRate();
        limit = Math.max(floor, limit * FALL_FACTOR);
        // Calls that started under the higher limit say nothing about the lower one.
        countFromMs = nowMs;
    }

    private void endTrial(double nowMs) {
        inTrial = false;
        double ratio = limit / limitBeforeTrial;
        if (answerRate() < rateBeforeTrial * (1 + ratio) / 2) {
            limit = limitBeforeTrial;
            holdMs = Math.clamp(2 * holdMs, FIRST_HOLD_MS, LONGEST_HOLD_MS);
            holdUntilMs = nowMs + holdMs;
        }
    }

    /** Answers per millisecond by Little's law, which is less noisy over a short window than counting them. */
    private double answerRate() {
        if (answered == 0) {
            return 0;
        }
        double inFlight = (double) inFlightSum / samples();
        return inFlight / averageMs() * answered / samples();
    }

    private double averageMs() {
        return Math.max(latencySumMs / answered, Double.MIN_NORMAL);
    }

    private void startWindow(double nowMs) {
        windowStartMs = nowMs;
        answered = 0;
        overloads = 0;
        latencySumMs = 0;
        inFlightSum = 0;
        peakInFlight = 0;
    }
}
