package org.sequoianotch.time;

/**
 * Clock that moves only when told to, for tests and for deterministic simulation.
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
     * Creates a clock that stands at the given time.
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
     * Moves the clock forward.
     *
     * @param durationMs how far, in milliseconds; not negative
     * @throws IllegalArgumentException if the duration is negative
     */
    public synchronized void advance(double durationMs) {
        if (durationMs < 0) {
            throw new IllegalArgumentException("The clock cannot go back by " + durationMs + " ms");
        }
        elapsedMs += durationMs;
    }
}
