package org.sequoianotch.policy.admission;

/**
 * Adaptive concurrency limit of one instance, derived from the latency and the results of completed calls.
 *
 * <p>Calls are evaluated in windows. If the latency is above its baseline while most of the limit is in use, the rate
 * of responses is measured, and then the limit is lowered as a trial. If the rate falls about as much as the limit, the
 * latency is not caused by the number of calls at this instance (a downstream service may be slow, for example). The
 * limit is then restored, and the next trial is delayed with exponential backoff. Otherwise the lower limit is kept,
 * and a further trial follows. Signs of overload start a trial at once. The limit is
 * raised in each window in which most of it is in use and the latency is not above its baseline.
 *
 * <p>This class is not thread-safe.
 */
final class ConcurrencyLimit implements InFlightLimit {
    private static final double WINDOW_MS = 100;
    /** A window with few calls is closed after this time, so that the limit also adapts under light load. */
    private static final double MAX_WINDOW_MS = 1_000;

    private static final int MIN_SAMPLES = 8;
    private static final int MAX_SAMPLES = 50;
    /** Rates from fewer samples are too noisy to compare two that differ by the decrease factor. */
    private static final int MIN_TRIAL_SAMPLES = 30;

    private static final double TRIAL_SAMPLES_PER_SLOT = 3;
    /**
     * The lower limit is kept if the response rate falls by at most this fraction of the fall of the limit. The value
     * is below one half, because a needless decrease does harm.
     */
    private static final double TOLERATED_RATE_LOSS = 0.3;
    /** The baseline is a minimum of averages, which must not follow the noise of short windows. */
    private static final int BASELINE_SAMPLES = 100;

    private static final double SLOW_LATENCY_FACTOR = 1.5;
    /** Standard errors, for exponential latencies, that raise the threshold of a slow window above the noise. */
    private static final double SLOW_STANDARD_ERRORS = 2.0;
    /** Smaller differences are noise of timers and scheduling. */
    private static final double SLOW_MARGIN_MS = 2.0;

    private static final double OVERLOAD_FRACTION = 0.1;
    private static final double MIN_UTILISATION_IF_SLOW = 0.8;
    private static final double MIN_UTILISATION_IF_OVERLOADED = 0.5;
    private static final double DECREASE_FACTOR = 0.6;
    private static final double INCREASE_FACTOR = 1.25;
    /** The limit never falls below the maximum divided by this, so that it can return to the maximum within 2 s. */
    private static final int MIN_LIMIT_DIVISOR = 8;

    private static final double MAX_SETTLE_MS = 2_000;
    private static final double INITIAL_BACKOFF_MS = 1_000;
    private static final double MAX_BACKOFF_MS = 8_000;
    /** Makes the baseline follow a lasting change of the latency: it doubles in about 140 s. */
    private static final double BASELINE_DRIFT_PER_MS = 0.005 / 1_000;

    private enum Phase {
        /** The limit is kept or raised. */
        STEADY,
        /** The rate of responses at the current limit is measured as the reference of a trial. */
        MEASURING,
        /** The rate of responses at a lower limit is measured. */
        TRIAL
    }

    private final int maxLimit;
    private final double minLimit;
    private double limit;
    private Phase phase = Phase.STEADY;

    private double baselineMs = Double.NaN;
    private double baselineAtMs;
    private int baselineSamples;
    private double baselineSumMs;

    private double windowStartMs;
    private int responses;
    private int overloadSignals;
    private double latencySumMs;
    private int peakInFlight;

    private double referenceLimit;
    private double acceptedLimit;
    private double referenceResponsesPerMs;
    private double backoffMs;
    private double nextTrialAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a limit that starts at half of the maximum, because nothing is known about the backend server yet.
     *
     * @param maxLimit maximum limit; at least 1
     * @param nowMs monotonic time in milliseconds
     */
    ConcurrencyLimit(int maxLimit, double nowMs) {
        this.maxLimit = maxLimit;
        this.minLimit = Math.max(1, maxLimit / MIN_LIMIT_DIVISOR);
        this.limit = Math.max(minLimit, Math.ceil(maxLimit / 2.0));
        this.windowStartMs = nowMs;
        this.baselineAtMs = nowMs;
    }

    @Override
    public int current() {
        return (int) limit;
    }

    /** Records a completed call. Results that do not indicate the load of the backend server are ignored. */
    @Override
    public void onEnd(double nowMs, CallResult result, double latencyMs, int inFlight) {
        boolean uninformative =
                result == CallResult.CANCELLED || result == CallResult.FAILED || result == CallResult.SHED_DOWNSTREAM;
        if (uninformative || nowMs < windowStartMs) {
            return;
        }
        if (result.isSignOfOverload()) {
            overloadSignals++;
        } else {
            responses++;
            latencySumMs += latencyMs;
            addToBaseline(latencyMs, nowMs);
        }
        peakInFlight = Math.max(peakInFlight, inFlight);
        double elapsedMs = nowMs - windowStartMs;
        boolean sufficient = elapsedMs >= WINDOW_MS && sampleCount() >= requiredSamples();
        if (sufficient || phase == Phase.STEADY && elapsedMs >= MAX_WINDOW_MS) {
            closeWindow(nowMs);
        }
    }

    private int sampleCount() {
        return responses + overloadSignals;
    }

    private int requiredSamples() {
        return phase == Phase.STEADY
                ? Math.clamp((long) limit, MIN_SAMPLES, MAX_SAMPLES)
                : (int) Math.max(MIN_TRIAL_SAMPLES, TRIAL_SAMPLES_PER_SLOT * limit);
    }

    private void addToBaseline(double latencyMs, double nowMs) {
        baselineSamples++;
        baselineSumMs += latencyMs;
        if (baselineSamples >= BASELINE_SAMPLES) {
            double averageMs = baselineSumMs / baselineSamples;
            double driftedMs = baselineMs * (1 + BASELINE_DRIFT_PER_MS * (nowMs - baselineAtMs));
            baselineMs = Double.isNaN(baselineMs) ? averageMs : Math.min(driftedMs, averageMs);
            baselineSamples = 0;
            baselineSumMs = 0;
            baselineAtMs = nowMs;
        }
    }

    private void closeWindow(double nowMs) {
        double utilisation = peakInFlight / Math.floor(limit);
        boolean overloaded = overloadSignals > 1 && overloadSignals > OVERLOAD_FRACTION * sampleCount();
        boolean slow = isSlow();
        if (!slow && !overloaded) {
            increase(utilisation);
        } else if (phase == Phase.TRIAL) {
            endTrial(nowMs);
            return;
        } else if (nowMs >= nextTrialAtMs
                && limit > minLimit
                && (slow && utilisation >= MIN_UTILISATION_IF_SLOW
                        || overloaded && utilisation >= MIN_UTILISATION_IF_OVERLOADED)) {
            if (phase == Phase.MEASURING || overloaded) {
                referenceLimit = limit;
                acceptedLimit = limit;
                referenceResponsesPerMs = responsesPerMs(nowMs);
                startTrial(nowMs);
                return;
            } else {
                phase = Phase.MEASURING;
            }
        } else {
            phase = Phase.STEADY;
        }
        startWindow(nowMs);
    }

    private boolean isSlow() {
        double allowed = SLOW_LATENCY_FACTOR * (1 + SLOW_STANDARD_ERRORS / Math.sqrt(responses));
        return responses > 0 && averageLatencyMs() > allowed * baselineMs + SLOW_MARGIN_MS;
    }

    private void increase(double utilisation) {
        phase = Phase.STEADY;
        backoffMs = 0;
        nextTrialAtMs = Double.NEGATIVE_INFINITY;
        if (utilisation >= MIN_UTILISATION_IF_SLOW) {
            limit = Math.min(maxLimit, limit * INCREASE_FACTOR + 1);
        }
    }

    private void startTrial(double nowMs) {
        phase = Phase.TRIAL;
        limit = Math.max(minLimit, limit * DECREASE_FACTOR);
        // After twice the average latency, most of the calls that started under the higher limit have ended.
        double settleMs = responses == 0 ? WINDOW_MS : Math.min(MAX_SETTLE_MS, 2 * averageLatencyMs());
        startWindow(nowMs + settleMs);
    }

    private void endTrial(double nowMs) {
        double ratio = limit / referenceLimit;
        phase = Phase.STEADY;
        if (responsesPerMs(nowMs) < referenceResponsesPerMs * (1 - TOLERATED_RATE_LOSS * (1 - ratio))) {
            limit = acceptedLimit;
            backoffMs = Math.clamp(2 * backoffMs, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
            nextTrialAtMs = nowMs + backoffMs;
            startWindow(nowMs);
        } else if (limit > minLimit) {
            acceptedLimit = limit;
            startTrial(nowMs);
        } else {
            startWindow(nowMs);
        }
    }

    /** Counts responses, because a rate derived from the latency would be biased by the first calls of a window. */
    private double responsesPerMs(double nowMs) {
        return responses / Math.max(1, nowMs - windowStartMs);
    }

    private double averageLatencyMs() {
        return Math.max(latencySumMs / responses, Double.MIN_NORMAL);
    }

    private void startWindow(double nowMs) {
        windowStartMs = nowMs;
        responses = 0;
        overloadSignals = 0;
        latencySumMs = 0;
        peakInFlight = 0;
    }
}
