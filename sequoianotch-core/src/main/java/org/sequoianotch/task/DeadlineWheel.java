package org.sequoianotch.task;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * A hashed timing wheel for deadlines that are mostly cancelled before they expire, such as those of requests.
 *
 * <p>Adding and cancelling take constant time and wake no thread. A wake-up is scheduled on the executor only for the
 * earliest deadline. Actions run up to two ticks after their deadline, or up to {@link #SLACK_MS} after it if the delay
 * is 100 ms or more.
 *
 * <p>This class is thread-safe. Actions run on the executor and must not block.
 */
public final class DeadlineWheel {
    /** Resolution of deadlines. The shortest timeouts of the deployments are a few hundred milliseconds. */
    public static final long TICK_MS = 10;

    /** Longest time from a deadline to the start of its action, unless the executor is busy. */
    public static final long SLACK_MS = 60;

    private static final Logger LOG = LogManager.getLogger(DeadlineWheel.class);

    private static final long TICK_NS = TimeUnit.MILLISECONDS.toNanos(TICK_MS);

    /** From a delay of 100 ms on, deadlines are rounded up to multiples of 50 ms, so that they share wake-ups. */
    private static final long COARSE_FROM_TICKS = 10;

    private static final long COARSE_TICKS = 5;

    /** One rotation covers 10 s, more than nearly all delays; later deadlines stay for further rotations. */
    private static final int SLOTS = 1_024;

    private final ScheduledExecutorService executor;
    private final LongSupplier nanoClock;
    private final long startNs;
    private final Entry[] slots = new Entry[SLOTS];
    private int size;
    /** All ticks up to this one have been processed. */
    private long lastTick;
    /** Tick of the earliest scheduled wake-up; {@link Long#MAX_VALUE} if none is scheduled. */
    private long armedTick = Long.MAX_VALUE;

    private long wakeUps;

    /**
     * Creates an empty wheel.
     *
     * @param executor executor that runs the actions; not null
     */
    public DeadlineWheel(ScheduledExecutorService executor) {
        this(executor, System::nanoTime);
    }

    DeadlineWheel(ScheduledExecutorService executor, LongSupplier nanoClock) {
        this.executor = executor;
        this.nanoClock = nanoClock;
        this.startNs = nanoClock.getAsLong();
        for (int slot = 0; slot < SLOTS; slot++) {
            slots[slot] = new Entry(this, null, 0);
        }
    }

    /** An action with its deadline, linked into the ring of its slot. */
    public static final class Entry {
        private final DeadlineWheel wheel;
        private final @Nullable Runnable action;
        private final long tick;
        private Entry previous = this;
        private Entry next = this;

        private Entry(DeadlineWheel wheel, @Nullable Runnable action, long tick) {
            this.wheel = wheel;
            this.action = action;
            this.tick = tick;
        }

        /**
         * Cancels the action.
         *
         * @return true if the action will not run, false if it was started or cancelled before
         */
        public boolean cancel() {
            synchronized (wheel) {
                return wheel.unlink(this);
            }
        }

        private void insertBefore(Entry other) {
            previous = other.previous;
            next = other;
            previous.next = this;
            other.previous = this;
        }
    }

    /**
     * Adds an action that runs after a delay.
     *
     * @param delayNs time until the deadline, in nanoseconds; zero or a negative value selects the next tick
     * @param action the action; not null
     * @return the entry, which can be cancelled; never null
     */
    public synchronized Entry add(long delayNs, Runnable action) {
        long nowTick = nowTick();
        if (size == 0) {
            lastTick = Math.max(lastTick, nowTick);
        }
        long delayTicks = (Math.max(0, delayNs) + TICK_NS - 1) / TICK_NS;
        long tick = Math.max(lastTick, nowTick + delayTicks) + 1;
        if (delayTicks >= COARSE_FROM_TICKS) {
            tick = (tick + COARSE_TICKS - 1) / COARSE_TICKS * COARSE_TICKS;
        }
        Entry entry = new Entry(this, action, tick);
        entry.insertBefore(slotOf(entry.tick));
        size++;
        if (entry.tick < armedTick) {
            arm(entry.tick);
        }
        return entry;
    }

    /**
     * Returns how often the executor has woken up for this wheel.
     *
     * @return the count
     */
    public synchronized long wakeUps() {
        return wakeUps;
    }

    private Entry slotOf(long tick) {
        return slots[(int) (tick & SLOTS - 1)];
    }

    private long nowTick() {
        return (nanoClock.getAsLong() - startNs) / TICK_NS;
    }

    private boolean unlink(Entry entry) {
        if (entry.next == entry) {
            return false;
        }
        entry.previous.next = entry.next;
        entry.next.previous = entry.previous;
        entry.previous = entry;
        entry.next = entry;
        size--;
        return true;
    }

    private void arm(long tick) {
        armedTick = tick;
        long delayNs = startNs + tick * TICK_NS - nanoClock.getAsLong();
        executor.schedule(() -> runDue(tick), Math.max(0, delayNs), TimeUnit.NANOSECONDS);
    }

    private void runDue(long scheduledTick) {
        Entry due = new Entry(this, null, 0);
        synchronized (this) {
            wakeUps++;
            collectDue(due);
            if (armedTick == scheduledTick) {
                armedTick = Long.MAX_VALUE;
                armEarliest();
            }
        }
        while (true) {
            Entry entry;
            synchronized (this) {
                entry = due.next;
                if (entry == due) {
                    return;
                }
                unlink(entry);
            }
            run(entry.action);
        }
    }

    /** Logs an exception of the action, so that the other actions that are due still run. */
    private static void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("[node] The action of a deadline threw an exception.", e);
        }
    }

    /** Moves the entries that are due into a separate ring, from which they can still be cancelled. */
    private void collectDue(Entry due) {
        long nowTick = nowTick();
        long ticks = Math.min(nowTick - lastTick, SLOTS);
        for (long tick = nowTick - ticks + 1; tick <= nowTick; tick++) {
            Entry slot = slotOf(tick);
            for (Entry entry = slot.next; entry != slot; ) {
                Entry following = entry.next;
                if (entry.tick <= nowTick) {
                    unlink(entry);
                    entry.insertBefore(due);
                    size++;
                }
                entry = following;
            }
        }
        lastTick = Math.max(lastTick, nowTick);
    }

    private void armEarliest() {
        if (size == 0) {
            return;
        }
        for (long tick = lastTick + 1; tick <= lastTick + SLOTS; tick++) {
            Entry slot = slotOf(tick);
            if (slot.next != slot) {
                arm(tick);
                return;
            }
        }
    }
}
