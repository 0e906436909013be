package org.sequoianotch.time;

/**
 * Clock that advances only on request, for tests and deterministic simulations. A call of {@link #sleep} advances it at
 * once instead of waiting.
 *
 * <p>This class is thread-safe.
 */
public final class ManualClock implements Clock {
    private double elapsedMs;
    private final long originMs;

    private ManualClock(long originMs) {
        this.originMs = originMs;
    }

    /**
     * Creates a clock that shows the given wall-clock time.
     *
     * @param originMs wall-clock time at the start, in milliseconds since the Unix epoch
     * @return the clock, never null
     */
    public static ManualClock startingAt(long originMs) {
        return new ManualClock(originMs);
    }

    @Override
    public synchronized long nowMs() {
        return originMs + (long) elapsedMs;
    }

    @Override
    public synchronized double monotonicMs() {
        return elapsedMs;
    }

    @Override
    public void sleep(long durationMs) {
        if (durationMs > 0) {
            advance(durationMs);
        }
    }

    /**
     * Advances the clock.
     *
     * @param durationMs time to add, in milliseconds; not negative
     * @throws IllegalArgumentException if the duration is negative
     */
    public synchronized void advance(double durationMs) {
        if (durationMs < 0) {
            throw new IllegalArgumentException("durationMs is " + durationMs + ", but must not be negative");
        }
        elapsedMs += durationMs;
    }
}
