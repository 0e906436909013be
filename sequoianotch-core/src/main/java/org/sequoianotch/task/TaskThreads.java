package org.sequoianotch.task;

import io.vavr.control.Either;
import java.lang.reflect.Constructor;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Starts the virtual threads that run tasks.
 *
 * <p>By default the threads run on the carrier threads of the Java runtime, so that each message is handed over from
 * the thread of an event loop to that of its task. On a host with a single core this costs more processor time than the
 * task itself. A process can therefore use its event loop as the carrier of the tasks.
 *
 * <p>This class is thread-safe.
 */
public final class TaskThreads {
    private static final Logger LOG = LogManager.getLogger(TaskThreads.class);

    private static final LongAdder STARTED = new LongAdder();
    private static volatile @Nullable Carrier carrier;

    private TaskThreads() {}

    /** Creates virtual threads that run on a given executor, for which the Java platform has no public API yet. */
    private record Carrier(ThreadFactory threadFactory, DeadlineWheel deadlines, Executor blockingExecutor) {
        Thread newThread(String name, Runnable task) {
            Thread thread = threadFactory.newThread(task);
            thread.setName(name);
            return thread;
        }
    }

    /**
     * Uses an executor as the carrier of all tasks that are started from now on. The executor must run its work on one
     * platform thread, which the tasks must not block except by parking or in {@link #callBlocking}. If the Java
     * runtime does not support this, a warning is logged and tasks keep running on the carrier threads of the runtime.
     *
     * @param executor the executor; not null
     * @param deadlines ends the timed waits of these tasks; not null
     */
    public static void useCarrier(ScheduledExecutorService executor, DeadlineWheel deadlines) {
        try {
            Constructor<?> builder = Class.forName("java.lang.ThreadBuilders$VirtualThreadBuilder")
                    .getDeclaredConstructor(Executor.class);
            builder.setAccessible(true);
            // Only the builder is created by reflection, because a reflective call for each thread would cost more than
            // the thread itself.
            ThreadFactory threadFactory = ((Thread.Builder) builder.newInstance(executor)).factory();
            carrier = new Carrier(threadFactory, deadlines, newBlockingExecutor());
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOG.warn(
                    "[node] Tasks cannot run on the event loop, so they run on carrier threads of the Java runtime: {}",
                    e.toString());
        }
    }

    private static Executor newBlockingExecutor() {
        return Executors.newSingleThreadExecutor(
                Thread.ofPlatform().daemon(true).name("blocking").factory());
    }

    /**
     * Starts a task.
     *
     * @param name name of the thread; not null
     * @param task the task; not null
     * @return the thread, never null
     */
    public static Thread start(String name, Runnable task) {
        STARTED.increment();
        Carrier current = carrier;
        if (current == null) {
            return Thread.ofVirtual().name(name).start(task);
        }
        Thread thread = current.newThread(name, task);
        thread.start();
        return thread;
    }

    /** One step of a loop. */
    @FunctionalInterface
    public interface Step {
        /**
         * Runs the step.
         *
         * @throws InterruptedException if the thread is interrupted, which ends the loop
         */
        void run() throws InterruptedException;
    }

    /**
     * Starts a task that repeats a step until it is told to end or its thread is interrupted. A step that throws is
     * logged and repeated after a pause, because a loop that ended unnoticed would leave its work undone for the rest
     * of the process's life.
     *
     * @param name name of the thread; not null
     * @param continues checked before each step; the loop ends when it returns false; not null
     * @param pauseAfterFailureMs pause after a step that threw, in milliseconds; positive
     * @param step the step, which waits until it is due by itself; not null
     * @return the thread, never null
     */
    public static Thread startLoop(String name, BooleanSupplier continues, long pauseAfterFailureMs, Step step) {
        return start(name, () -> {
            try {
                while (continues.getAsBoolean() && !Thread.currentThread().isInterrupted()) {
                    if (!runLogged(name, step)) {
                        sleep(pauseAfterFailureMs);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Returns false if the step threw. Errors are included, such as a stack overflow caused by a deep structure. */
    private static boolean runLogged(String name, Step step) throws InterruptedException {
        try {
            step.run();
            return true;
        } catch (RuntimeException | Error e) {
            LOG.error("[node] A step of the task {} failed with an unexpected exception; the task continues.", name, e);
            return false;
        }
    }

    /**
     * Returns the number of tasks that were started in this process.
     *
     * @return the count
     */
    public static long startedCount() {
        return STARTED.sum();
    }

    /**
     * Parks the current thread until it is unparked, interrupted or the time has passed. The Java runtime ends timed
     * waits of virtual threads from a separate thread, which would cost a task on a carrier executor two thread
     * switches. The waits of these tasks are ended by the deadline wheel instead.
     *
     * @param durationNs longest wait in nanoseconds
     */
    public static void park(long durationNs) {
        Carrier current = carrier;
        if (current == null || !Thread.currentThread().isVirtual()) {
            LockSupport.parkNanos(durationNs);
            return;
        }
        Thread thread = Thread.currentThread();
        DeadlineWheel.Entry deadline = current.deadlines().add(durationNs, () -> LockSupport.unpark(thread));
        try {
            LockSupport.park();
        } finally {
            deadline.cancel();
        }
    }

    /**
     * Waits for the given time.
     *
     * @param durationMs the time in milliseconds; zero or a negative value returns at once
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public static void sleep(long durationMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        long leftNs = endNs - System.nanoTime();
        while (leftNs > 0) {
            park(leftNs);
            if (Thread.interrupted()) {
                throw new InterruptedException("interrupted while sleeping");
            }
            leftNs = endNs - System.nanoTime();
        }
    }

    /**
     * Runs an action that blocks its thread, such as a file sync. If the current task runs on a carrier executor, the
     * action runs on a separate thread instead, so that it does not block the other tasks. That thread runs one action
     * at a time. An interrupt does not end the wait for the action; the interrupt status is kept.
     *
     * @param <T> type of the result
     * @param action the action; not null
     * @return the result of the action
     * @throws RuntimeException if the action throws it
     */
    public static <T> T callBlocking(Supplier<T> action) {
        Carrier current = carrier;
        if (current == null || !Thread.currentThread().isVirtual()) {
            return action.get();
        }
        AtomicReference<Either<RuntimeException, Optional<T>>> outcome = new AtomicReference<>();
        Signal completed = new Signal();
        current.blockingExecutor().execute(() -> {
            outcome.set(outcomeOf(action));
            completed.raise();
        });
        // An interrupt does not end the wait, because returning early would not undo the action.
        completed.awaitUninterruptibly(() -> outcome.get() != null, () -> {});
        return outcome.get().getOrElseThrow(failure -> failure).orElse(null);
    }

    private static <T> Either<RuntimeException, Optional<T>> outcomeOf(Supplier<T> action) {
        try {
            return Either.right(Optional.ofNullable(action.get()));
        } catch (RuntimeException e) {
            return Either.left(e);
        }
    }
}
