package org.sequoianotch.protocol.link;

import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.netty.util.TimerTask;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.task.DeadlineWheel;

/**
 * Netty timer that runs its tasks on the event loop of a {@link DeadlineWheel}.
 *
 * <p>Unlike a timer with its own thread, it wakes the process only when a task is due.
 *
 * <p>This class is thread-safe.
 */
public final class EventLoopTimer implements Timer {
    private final DeadlineWheel wheel;

    /**
     * Creates a timer.
     *
     * @param wheel schedules and runs the tasks, which must not block; not null
     */
    public EventLoopTimer(DeadlineWheel wheel) {
        this.wheel = wheel;
    }

    @Override
    public Timeout newTimeout(TimerTask task, long delay, TimeUnit unit) {
        WheelTimeout timeout = new WheelTimeout(task);
        timeout.entry = wheel.add(unit.toNanos(delay), timeout);
        return timeout;
    }

    /** Does nothing: pending tasks are dropped when the event loop shuts down. */
    @Override
    public Set<Timeout> stop() {
        return Set.of();
    }

    private final class WheelTimeout implements Timeout, Runnable {
        private final TimerTask task;
        private volatile DeadlineWheel.@Nullable Entry entry;
        private volatile boolean expired;
        private volatile boolean cancelled;

        WheelTimeout(TimerTask task) {
            this.task = task;
        }

        @Override
        public void run() {
            expired = true;
            try {
                task.run(this);
            } catch (Exception e) {
                throw new IllegalStateException("A timer task failed", e);
            }
        }

        @Override
        public Timer timer() {
            return EventLoopTimer.this;
        }

        @Override
        public TimerTask task() {
            return task;
        }

        @Override
        public boolean isExpired() {
            return expired;
        }

        @Override
        public boolean isCancelled() {
            return cancelled;
        }

        @Override
        public boolean cancel() {
            DeadlineWheel.Entry current = entry;
            if (current == null || !current.cancel()) {
                return false;
            }
            cancelled = true;
            return true;
        }
    }
}
