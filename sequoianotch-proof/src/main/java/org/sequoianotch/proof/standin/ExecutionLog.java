package org.sequoianotch.proof.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * Log of the requests that a stand-in backend server executed and of the downstream calls that they made.
 *
 * <p>This class is thread-safe.
 */
public final class ExecutionLog {
    private final List<Execution> executions = new ArrayList<>();
    private int downstreamCalls;

    /** Creates an empty log. */
    public ExecutionLog() {}

    synchronized int begin(Execution execution) {
        executions.add(execution);
        return executions.size() - 1;
    }

    synchronized void end(int index, Execution.Result result, double slotHeldMs, long bodyBytes) {
        Execution started = executions.get(index);
        executions.set(
                index,
                new Execution(
                        started.requestId(),
                        started.key(),
                        started.method(),
                        started.path(),
                        bodyBytes,
                        started.startedAtMs(),
                        slotHeldMs,
                        result));
    }

    /**
     * Returns all executions so far, ordered by start.
     *
     * @return a copy, never null
     */
    public synchronized List<Execution> executions() {
        return List.copyOf(executions);
    }

    synchronized void countDownstreamCall() {
        downstreamCalls++;
    }

    /**
     * Returns the number of calls that the executions made to other services, without retries by the node.
     *
     * @return the number of calls; not negative
     */
    public synchronized int downstreamCalls() {
        return downstreamCalls;
    }

    /** Removes all executions. No request may be running, because its entry is updated when it ends. */
    public synchronized void clear() {
        executions.clear();
        downstreamCalls = 0;
    }
}
