package org.sequoianotch.proof.standin;

import java.util.ArrayList;
import java.util.List;

/** Record of the requests that reached a stand-in. This class is thread-safe. */
public final class ExecutionLog {
    private final List<Execution> executions = new ArrayList<>();
    private int subCalls;

    /** Creates an empty record. */
    public ExecutionLog() {}

    synchronized int begin(Execution execution) {
        executions.add(execution);
        return executions.size() - 1;
    }

    synchronized void end(int index, Execution.Result result, double workedMs, long bodyBytes) {
        Execution begun = executions.get(index);
        executions.set(
                index,
                new Execution(
                        begun.requestId(),
                        begun.key(),
                        begun.method(),
                        begun.path(),
                        bodyBytes,
                        begun.startedAtMs(),
                        workedMs,
                        result));
    }

    /**
     * Returns all executions so far, in the order in which they began.
     *
     * @return a copy, never null
     */
    public synchronized List<Execution> executions() {
        return List.copyOf(executions);
    }

    synchronized void countSubCall() {
        subCalls++;
    }

    /**
     * Returns the calls to other services that the executions made themselves, without the retries of their node.
     *
     * @return the number; not negative
     */
    public synchronized int subCalls() {
        return subCalls;
    }

    /** Forgets all executions. No request may be running. */
    public synchronized void clear() {
        executions.clear();
        subCalls = 0;
    }
}
