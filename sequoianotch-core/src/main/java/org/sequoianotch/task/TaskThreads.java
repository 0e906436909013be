package org.sequoianotch.task;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Starts the virtual threads that run tasks.
 *
 * <p>By default the Java runtime carries them on threads of its own, so that each message passes between two threads on
 * its way from an event loop to its task. On a host with a single core this costs more processor time than the task
 * itself. A process may therefore let its event loop carry the tasks. This class is thread-safe.
 */
public final class TaskThreads {
    private static final Logger LOG = LogManager.getLogger(TaskThreads.class);

    private static volatile @Nullable Carrier carrier;

    private TaskThreads() {}

    /** Creates virtual threads that an executor carries. The Java platform has no public way to do so yet. */
    private record Carrier(Executor executor, Method factory) {
        Thread newThread(String name, Runnable task) throws ReflectiveOperationException {
            return (Thread) factory.invoke(null, executor, name, 0, task);
        }
    }

    /**
     * Lets an executor carry all tasks that are started from now on. It must run what it is given on one platform
     * thread, which the tasks must not block other than by parking; tasks that sync files must not be carried so. If
     * the Java runtime does not allow it, tasks are carried as before.
     *
     * @param executor the executor; not null
     * @return true if the executor carries tasks now
     */
    public static boolean carryOn(Executor executor) {
        try {
            Method factory = Class.forName("java.lang.ThreadBuilders")
                    .getDeclaredMethod("newVirtualThread", Executor.class, String.class, int.class, Runnable.class);
            factory.setAccessible(true);
            carrier = new Carrier(executor, factory);
            return true;
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOG.warn("[node] The Java runtime carries the tasks on threads of its own: {}", e.toString());
            return false;
        }
    }

    /**
     * Starts a task.
     *
     * @param name name of the thread; not null
     * @param task the task; not null
     * @return the thread, never null
     */
    public static Thread start(String name, Runnable task) {
        Carrier present = carrier;
        if (present == null) {
            return Thread.ofVirtual().name(name).start(task);
        }
        try {
            Thread thread = present.newThread(name, task);
            thread.start();
            return thread;
        } catch (InvocationTargetException e) {
            throw new IllegalStateException("a virtual thread cannot be created", e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("a virtual thread cannot be created", e);
        }
    }
}
