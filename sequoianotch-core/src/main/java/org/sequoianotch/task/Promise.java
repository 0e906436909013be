package org.sequoianotch.task;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * A value that is set at most once and that tasks can wait for.
 *
 * <p>This class is thread-safe.
 *
 * @param <T> type of the value
 */
public final class Promise<T> {
    private final BroadcastSignal valueSet = new BroadcastSignal();
    private final BooleanSupplier isSet = this::isSet;
    private volatile @Nullable T value;

    /** Creates a promise without a value. */
    public Promise() {}

    /**
     * Sets the value if it is not set yet.
     *
     * @param newValue the value; not null
     * @return true if the value was set, false if it had been set before
     */
    public boolean set(T newValue) {
        synchronized (this) {
            if (value != null) {
                return false;
            }
            value = Objects.requireNonNull(newValue, "newValue");
        }
        valueSet.raise();
        return true;
    }

    /**
     * Returns the value without waiting.
     *
     * @return the value, or empty if it is not set yet
     */
    public Optional<T> get() {
        return Optional.ofNullable(value);
    }

    /**
     * Tells whether the value is set.
     *
     * @return true if the value is set
     */
    public boolean isSet() {
        return value != null;
    }

    /**
     * Waits for the value.
     *
     * @param timeoutMs longest wait in milliseconds; {@link Long#MAX_VALUE} for no limit
     * @return the value, or empty if it was not set in time
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Optional<T> await(long timeoutMs) throws InterruptedException {
        valueSet.await(isSet, timeoutMs);
        return get();
    }
}
