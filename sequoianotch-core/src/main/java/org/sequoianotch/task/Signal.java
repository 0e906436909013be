package org.sequoianotch.task;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Lets one task wait until other tasks or event loops have changed something.
 *
 * <p>It is cheaper than a condition of a lock: raising a signal for which nobody waits costs one read, and waiting with
 * a time limit wakes no other thread. Whoever changes what a condition reads raises the signal after the change. The
 * condition must see changes of other threads, by a lock or volatile fields.
 *
 * <p>This class is thread-safe, but only one task may wait at a time.
 */
public final class Signal {
    private volatile @Nullable Thread waiting;

    /** Creates a signal. */
    public Signal() {}

    /**
     * Waits until a condition holds.
     *
     * @param condition checked before the wait and after each signal; must not block; not null
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void await(BooleanSupplier condition) throws InterruptedException {
        await(condition, Long.MAX_VALUE);
    }

    /**
     * Waits until a condition holds, even if the thread is interrupted; the interrupt is kept for later.
     *
     * @param condition checked before the wait and after each signal; must not block; not null
     * @param onInterrupt runs at each interrupt; not null
     */
    public void awaitUninterruptibly(BooleanSupplier condition, Runnable onInterrupt) {
        boolean interrupted = false;
        boolean waits = true;
        while (waits) {
            try {
                await(condition);
                waits = false;
            } catch (InterruptedException e) {
                interrupted = true;
                onInterrupt.run();
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until a condition holds or the time has passed.
     *
     * @param condition checked before the wait and after each signal; must not block; not null
     * @param timeoutMs longest wait in milliseconds; {@link Long#MAX_VALUE} for no limit
     * @return whether the condition holds
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        if (condition.getAsBoolean()) {
            return true;
        }
        if (timeoutMs <= 0) {
            return false;
        }
        if (waiting != null) {
            throw new IllegalStateException("A second task waits for the same signal");
        }
        waiting = Thread.currentThread();
        try {
            return timeoutMs == Long.MAX_VALUE
                    ? waitFor(condition)
                    : waitFor(condition, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs));
        } finally {
            waiting = null;
        }
    }

    private static boolean waitFor(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            LockSupport.park();
            checkInterrupt();
        }
        return true;
    }

    private static boolean waitFor(BooleanSupplier condition, long endNs) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            long leftNs = endNs - System.nanoTime();
            if (leftNs <= 0) {
                return false;
            }
            TaskThreads.park(leftNs);
            checkInterrupt();
        }
        return true;
    }

    private static void checkInterrupt() throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException("interrupted while waiting for a signal");
        }
    }

    /** Makes the waiting task check its condition. */
    public void raise() {
        Thread present = waiting;
        if (present != null) {
            LockSupport.unpark(present);
        }
    }
}
