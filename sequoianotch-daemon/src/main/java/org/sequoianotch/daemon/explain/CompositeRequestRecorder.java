package org.sequoianotch.daemon.explain;

import java.util.function.Supplier;
import org.sequoianotch.model.RequestId;

/**
 * Forwards events to several recorders, in order.
 *
 * <p>This class is thread-safe.
 */
public final class CompositeRequestRecorder implements RequestRecorder {
    private final RequestRecorder[] recorders;

    private CompositeRequestRecorder(RequestRecorder[] recorders) {
        this.recorders = recorders;
    }

    /**
     * Creates a composite of recorders.
     *
     * @param recorders the recorders in the order in which they are called; not null
     * @return the composite, never null
     */
    public static CompositeRequestRecorder of(RequestRecorder... recorders) {
        return new CompositeRequestRecorder(recorders.clone());
    }

    @Override
    public void record(RequestId requestId, EventKind kind, String sentence) {
        for (RequestRecorder recorder : recorders) {
            recorder.record(requestId, kind, sentence);
        }
    }

    @Override
    public void record(RequestId requestId, EventKind kind, Supplier<String> sentence) {
        for (RequestRecorder recorder : recorders) {
            recorder.record(requestId, kind, sentence);
        }
    }

    @Override
    public void recordEnd(RequestSummary summary) {
        for (RequestRecorder recorder : recorders) {
            recorder.recordEnd(summary);
        }
    }
}
