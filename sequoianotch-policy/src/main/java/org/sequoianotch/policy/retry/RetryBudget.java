package org.sequoianotch.policy.retry;

import org.sequoianotch.model.Criticality;
import org.sequoianotch.time.Clock;

/**
 * Token bucket that limits the retries of a node to one service to a percentage of its first attempts.
 *
 * <p>Each first attempt adds that percentage of a token. One token is also added each second, so that a node with few
 * calls can retry at all. The capacity is 10 tokens. A percentage of zero disables retries. This class is thread-safe.
 */
public final class RetryBudget {
    private static final double REFILL_TOKENS_PER_MS = 0.001;
    private static final double BURST_TOKENS = 10;
    /** Only critical calls may take these; refused lookups would otherwise exhaust the retries that bookings need. */
    private static final double RESERVED_CRITICAL_TOKENS = 5;

    private static final double PERCENT = 100.0;

    private final double tokensPerFirstAttempt;
    private final Clock clock;
    private double tokens;
    private double refilledAtMs;

    private RetryBudget(int percent, Clock clock) {
        this.tokensPerFirstAttempt = percent / PERCENT;
        this.tokens = BURST_TOKENS;
        this.clock = clock;
        this.refilledAtMs = clock.monotonicMs();
    }

    /**
     * Creates a full budget.
     *
     * @param percent retries allowed per 100 first attempts; not negative
     * @param clock the clock; not null
     * @return the budget, never null
     */
    public static RetryBudget of(int percent, Clock clock) {
        return new RetryBudget(percent, clock);
    }

    /** Refills the budget for a first attempt. */
    public synchronized void onFirstAttempt() {
        tokens = Math.min(BURST_TOKENS, tokens + tokensPerFirstAttempt);
    }

    /**
     * Tells whether a token is available to a call, without taking it.
     *
     * @param criticality importance of the call; not null
     * @return true if a retry is within the budget
     */
    public synchronized boolean hasToken(Criticality criticality) {
        double nowMs = clock.monotonicMs();
        tokens = Math.min(BURST_TOKENS, tokens + (nowMs - refilledAtMs) * REFILL_TOKENS_PER_MS);
        refilledAtMs = nowMs;
        double reserved = criticality == Criticality.CRITICAL ? 0 : RESERVED_CRITICAL_TOKENS;
        return tokensPerFirstAttempt > 0 && tokens >= 1 + reserved;
    }

    /**
     * Takes a token if one is available to the call.
     *
     * @param criticality importance of the call; not null
     * @return true if a token was taken
     */
    public synchronized boolean take(Criticality criticality) {
        if (!hasToken(criticality)) {
            return false;
        }
        tokens--;
        return true;
    }
}
