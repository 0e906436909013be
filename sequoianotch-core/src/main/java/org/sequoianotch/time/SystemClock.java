package org.sequoianotch.time;

import org.sequoianotch.task.TaskThreads;

/**
 * Clock of the host.
 *
 * <p>This class is stateless and thread-safe. Use {@link #INSTANCE}.
 */
public final class SystemClock implements Clock {
    /** The only instance. */
    public static final SystemClock INSTANCE = new SystemClock();

    private static final double NANOS_PER_MS = 1_000_000.0;

    private SystemClock() {}

    @Override
    public long nowMs() {
        return System.currentTimeMillis();
    }

    @Override
    public double monotonicMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public void sleep(long durationMs) throws InterruptedException {
        TaskThreads.sleep(durationMs);
    }
}
