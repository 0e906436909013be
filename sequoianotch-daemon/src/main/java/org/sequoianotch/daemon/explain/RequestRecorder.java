package org.sequoianotch.daemon.explain;

import java.util.function.Supplier;
import org.sequoianotch.model.RequestId;

/**
 * Records the events and the end of requests on this node.
 *
 * <p>Callers invoke it while they serve a request, so implementations must not block for long. Implementations are
 * thread-safe.
 */
public interface RequestRecorder {
    /**
     * Records an event.
     *
     * @param requestId the request; not null
     * @param kind kind of the event; not null
     * @param sentence one or more plain sentences with the figures at the time of the event; not null
     */
    void record(RequestId requestId, EventKind kind, String sentence);

    /**
     * Records an event whose sentence is costly to build, so that recorders which do not need it can skip that.
     *
     * @param requestId the request; not null
     * @param kind kind of the event; not null
     * @param sentence builds the sentence; not null
     */
    default void record(RequestId requestId, EventKind kind, Supplier<String> sentence) {
        record(requestId, kind, sentence.get());
    }

    /**
     * Records the end of a request at its entry node.
     *
     * @param summary how the request ended; not null
     */
    void recordEnd(RequestSummary summary);
}
