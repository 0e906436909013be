package org.sequoianotch.control;

import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.task.BroadcastSignal;

/** Holds the newest templates of a host, and lets callers wait for a higher revision. This class is thread-safe. */
final class RevisionNotifier {
    private final BroadcastSignal changed = new BroadcastSignal();
    private volatile TemplateTexts newest = TemplateTexts.EMPTY;
    private volatile boolean closed;

    /** Publishes templates if their revision is higher than the current one, and returns whether it was. */
    boolean publish(TemplateTexts texts) {
        synchronized (this) {
            if (texts.revision() <= newest.revision()) {
                return false;
            }
            newest = texts;
        }
        changed.raise();
        return true;
    }

    TemplateTexts newest() {
        return newest;
    }

    /** Waits for a higher revision than the known one or for the timeout, and returns the newest templates. */
    TemplateTexts await(long knownRevision, long waitMs) throws InterruptedException {
        changed.await(() -> newest.revision() > knownRevision || closed, waitMs);
        return newest;
    }

    /** Wakes all waiting callers; later calls of {@link #await} do not wait. */
    void close() {
        closed = true;
        changed.raise();
    }
}
