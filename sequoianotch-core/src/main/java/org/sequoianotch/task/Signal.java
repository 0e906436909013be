package org.sequoianotch.task;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Lets one task wait for a condition that other tasks or event loops change.
 *
 * <p>A signal is cheaper than the condition of a lock: raising it without a waiting task costs one volatile read, and a
 * wait with a time limit wakes no other thread. Code that changes the state read by a condition must raise the signal
 * after the change. The condition must read that state under a lock or from volatile fields.
 *
 * <p>This class is thread-safe, but only one task may wait at a time.
 */
public final class Signal {
    private volatile @Nullable Thread waiter;

    /** Creates a signal. */
    public Signal() {}

    /**
     * Waits until a condition holds, without a time limit.
     *
     * @param condition checked before the wait and each time the signal is raised; must not block; not null
     * @throws InterruptedException if the thread is interrupted while waiting
     * @throws IllegalStateException if another task waits for this signal
     */
    public void await(BooleanSupplier condition) throws InterruptedException {
        await(condition, Long.MAX_VALUE);
    }

    /**
     * Waits until a condition holds, even if the thread is interrupted. The interrupt status is restored before the
     * method returns.
     *
     * @param condition checked before the wait and each time the signal is raised; must not block; not null
     * @param onInterrupt run at each interrupt; not null
     * @throws IllegalStateException if another task waits for this signal
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
     * @param condition checked before the wait and each time the signal is raised; must not block; not null
     * @param timeoutMs longest wait in milliseconds; {@link Long#MAX_VALUE} for no limit
     * @return whether the condition holds
     * @throws InterruptedException if the thread is interrupted while waiting
     * @throws IllegalStateException if another task waits for this signal
     */
    public boolean await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        if (condition.getAsBoolean()) {
            return true;
        }
        if (timeoutMs <= 0) {
            return false;
        }
        if (waiter != null) {
            throw new IllegalStateException("Another task is already waiting for this signal");
        }
        waiter = Thread.currentThread();
        try {
            return timeoutMs == Long.MAX_VALUE
                    ? waitFor(condition)
                    : waitFor(condition, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs));
        } finally {
            waiter = null;
        }
    }

    private static boolean waitFor(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            LockSupport.park();
            throwIfInterrupted();
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
            throwIfInterrupted();
        }
        return true;
    }

    private static void throwIfInterrupted() throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException("interrupted while waiting for a signal");
        }
    }

    /** Makes the waiting task check its condition again. */
    public void raise() {
        Thread thread = waiter;
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }
}
