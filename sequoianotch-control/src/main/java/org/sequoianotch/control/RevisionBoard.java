package org.sequoianotch.control;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.sequoianotch.control.state.TemplateTexts;

/** The newest templates of a host, for whoever waits for a higher revision. Thread-safe. */
final class RevisionBoard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private TemplateTexts newest = TemplateTexts.EMPTY;
    private boolean closed;

    /** Takes templates if their revision is higher than that of the present ones. */
    boolean publish(TemplateTexts texts) {
        lock.lock();
        try {
            if (texts.revision() <= newest.revision()) {
                return false;
            }
            newest = texts;
            changed.signalAll();
            return true;
        } finally {
            lock.unlock();
        }
    }

    TemplateTexts newest() {
        lock.lock();
        try {
            return newest;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the newest templates as soon as they are newer than the known ones, or when the time has passed. */
    TemplateTexts await(long knownRevision, long waitMs) throws InterruptedException {
        lock.lock();
        try {
            long leftNs = TimeUnit.MILLISECONDS.toNanos(waitMs);
            while (newest.revision() <= knownRevision && leftNs > 0 && !closed) {
                leftNs = changed.awaitNanos(leftNs);
            }
            return newest;
        } finally {
            lock.unlock();
        }
    }

    /** Wakes everybody who waits. */
    void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
