package org.sequoianotch.task;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

/**
 * A {@link Signal} for any number of waiting tasks.
 *
 * <p>This class is thread-safe.
 */
public final class BroadcastSignal {
    private final List<Signal> waiters = new CopyOnWriteArrayList<>();

    /** Creates a signal. */
    public BroadcastSignal() {}

    /**
     * Waits until a condition holds or the time has passed.
     *
     * @param condition checked before the wait and each time the signal is raised; must not block; not null
     * @param timeoutMs longest wait in milliseconds; {@link Long#MAX_VALUE} for no limit
     * @return whether the condition holds
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean await(BooleanSupplier condition, long timeoutMs) throws InterruptedException {
        if (condition.getAsBoolean()) {
            return true;
        }
        Signal signal = new Signal();
        waiters.add(signal);
        try {
            return signal.await(condition, timeoutMs);
        } finally {
            waiters.remove(signal);
        }
    }

    /** Makes every waiting task check its condition again. */
    public void raise() {
        waiters.forEach(Signal::raise);
    }
}
