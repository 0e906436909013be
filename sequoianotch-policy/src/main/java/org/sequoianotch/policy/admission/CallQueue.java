package org.sequoianotch.policy.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Queue of the calls that wait at one instance, ordered by importance and by expiry.
 *
 * <p>Of calls that are equally important, those that can still meet their target go before those that cannot. Otherwise
 * a load that exceeds the capacity a little would make each call wait until it is just too late, and nearly all
 * responses would be late. A call that is too late stays in the queue and starts when no other one of its class waits.
 *
 * <p>This class is not thread-safe.
 */
final class CallQueue {
    private final TreeSet<QueuedCall> punctual = new TreeSet<>(QueuedCall.BY_IMPORTANCE);
    private final TreeSet<QueuedCall> late = new TreeSet<>(QueuedCall.BY_IMPORTANCE);
    private final TreeSet<QueuedCall> byLatestStart = new TreeSet<>(QueuedCall.BY_LATEST_START);
    private final TreeSet<QueuedCall> byExpiry = new TreeSet<>(QueuedCall.BY_EXPIRY);

    int size() {
        return byExpiry.size();
    }

    void add(QueuedCall call) {
        punctual.add(call);
        byLatestStart.add(call);
        byExpiry.add(call);
    }

    boolean remove(QueuedCall call) {
        byExpiry.remove(call);
        byLatestStart.remove(call);
        return punctual.remove(call) || late.remove(call);
    }

    /** Puts the calls that can no longer meet their target behind the others of their class. */
    void update(double nowMs) {
        while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartMs() < nowMs) {
            QueuedCall call = byLatestStart.removeFirst();
            punctual.remove(call);
            late.add(call);
        }
    }

    @Nullable
    QueuedCall mostImportant() {
        if (punctual.isEmpty() || late.isEmpty()) {
            return !punctual.isEmpty() ? punctual.first() : late.isEmpty() ? null : late.first();
        }
        boolean isLateCallFirst = QueuedCall.BY_CLASS.compare(late.first(), punctual.first()) < 0;
        return isLateCallFirst ? late.first() : punctual.first();
    }

    /** Removes the call that would start last; the queue must not be empty. */
    QueuedCall removeLeastImportant() {
        boolean isLateCallLast =
                punctual.isEmpty() || !late.isEmpty() && QueuedCall.BY_CLASS.compare(late.last(), punctual.last()) >= 0;
        QueuedCall call = isLateCallLast ? late.last() : punctual.last();
        remove(call);
        return call;
    }

    /** Removes the expired calls. A call that expires at exactly the given time may still start. */
    List<QueuedCall> removeExpired(double nowMs) {
        List<QueuedCall> expired = new ArrayList<>();
        while (!byExpiry.isEmpty() && byExpiry.first().expiresAtMs() < nowMs) {
            QueuedCall call = byExpiry.first();
            remove(call);
            expired.add(call);
        }
        return expired;
    }
}
