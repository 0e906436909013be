package org.sequoianotch.protocol.link;

import io.netty.channel.EventLoop;
import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.netty.util.TimerTask;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * Timer that runs its tasks on an event loop. Unlike a timer with a thread of its own it wakes the process only when a
 * task is due.
 *
 * <p>This class is thread-safe.
 */
public final class EventLoopTimer implements Timer {
    private final EventLoop eventLoop;

    /**
     * Creates a timer.
     *
     * @param eventLoop runs the tasks, which must not block; not null
     */
    public EventLoopTimer(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public Timeout newTimeout(TimerTask task, long delay, TimeUnit unit) {
        LoopTimeout timeout = new LoopTimeout(task);
        timeout.future = eventLoop.schedule(timeout, delay, unit);
        return timeout;
    }

    /** Does nothing: tasks that are not due yet end with the event loop. */
    @Override
    public Set<Timeout> stop() {
        return Set.of();
    }

    private final class LoopTimeout implements Timeout, Runnable {
        private final TimerTask task;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile @Nullable ScheduledFuture<?> future;
        private volatile boolean cancelled;

        LoopTimeout(TimerTask task) {
            this.task = task;
        }

        @Override
        public void run() {
            if (ended.compareAndSet(false, true)) {
                try {
                    task.run(this);
                } catch (Exception e) {
                    throw new IllegalStateException("a timer task failed", e);
                }
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
            return ended.get() && !cancelled;
        }

        @Override
        public boolean isCancelled() {
            return cancelled;
        }

        @Override
        public boolean cancel() {
            if (!ended.compareAndSet(false, true)) {
                return false;
            }
            cancelled = true;
            ScheduledFuture<?> scheduled = future;
            if (scheduled != null) {
                scheduled.cancel(false);
            }
            return true;
        }
    }
}
