package org.sequoianotch.proof.load;

import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.sequoianotch.time.Clock;
import org.sequoianotch.time.SystemClock;

/**
 * Open-loop load generator that starts tasks at a fixed rate, whether or not earlier tasks have ended.
 *
 * <p>A slow system therefore cannot reduce the offered load and hide its own latency (coordinated omission).
 *
 * <p>This class is thread-safe.
 */
public final class OpenLoopGenerator {
    private static final double MS_PER_S = 1_000.0;
    /** Shorter waits spin, because parking a thread is less precise. */
    private static final double SPIN_THRESHOLD_MS = 0.2;

    private final Clock clock = SystemClock.INSTANCE;

    /** Creates a load generator. */
    public OpenLoopGenerator() {}

    /** A task that is started at its scheduled time. */
    @FunctionalInterface
    public interface Task {
        /**
         * Runs the task. Each run has its own virtual thread.
         *
         * @param index number of the run, from 0
         * @param scheduledAtMs scheduled start on the monotonic clock, in milliseconds
         * @throws InterruptedException if the thread is interrupted
         */
        void run(int index, double scheduledAtMs) throws InterruptedException;
    }

    /**
     * Starts runs of a task at a fixed rate and waits until all of them have ended.
     *
     * @param ratePerS number of runs started per second; positive
     * @param durationMs time during which runs are started, in milliseconds; positive
     * @param task the task; not null
     */
    public void run(double ratePerS, long durationMs, Task task) {
        double intervalMs = MS_PER_S / ratePerS;
        int count = (int) (durationMs / intervalMs);
        double startMs = clock.monotonicMs();
        Phaser running = new Phaser(1);
        for (int i = 0; i < count; i++) {
            double scheduledAtMs = startMs + i * intervalMs;
            awaitStartTime(scheduledAtMs);
            int index = i;
            running.register();
            Thread.ofVirtual().start(() -> runTask(task, index, scheduledAtMs, running));
        }
        running.arriveAndAwaitAdvance();
    }

    private static void runTask(Task task, int index, double scheduledAtMs, Phaser running) {
        try {
            task.run(index, scheduledAtMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            running.arriveAndDeregister();
        }
    }

    private void awaitStartTime(double atMs) {
        while (true) {
            double remainingMs = atMs - clock.monotonicMs();
            if (remainingMs <= 0) {
                return;
            }
            if (remainingMs > SPIN_THRESHOLD_MS) {
                LockSupport.parkNanos((long) ((remainingMs - SPIN_THRESHOLD_MS) * TimeUnit.MILLISECONDS.toNanos(1)));
            } else {
                Thread.onSpinWait();
            }
        }
    }
}
