package org.sequoianotch.control;

import org.sequoianotch.control.state.TemplateTexts;

/** The newest templates of a host, for whoever waits for a higher revision. Thread-safe. */
final class RevisionBoard {
    private TemplateTexts newest = TemplateTexts.EMPTY;
    private boolean closed;

    /** Takes templates if their revision is higher than that of the present ones. */
    synchronized boolean publish(TemplateTexts texts) {
        if (texts.revision() <= newest.revision()) {
            return false;
        }
        newest = texts;
        notifyAll();
        return true;
    }

    synchronized TemplateTexts newest() {
        return newest;
    }

    /** Returns the newest templates as soon as they are newer than the known ones, or when the time has passed. */
    synchronized TemplateTexts await(long knownRevision, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        long leftMs = waitMs;
        while (newest.revision() <= knownRevision && leftMs > 0 && !closed) {
            wait(leftMs);
            leftMs = (endNanos - System.nanoTime()) / 1_000_000;
        }
        return newest;
    }

    /** Wakes everybody who waits. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
