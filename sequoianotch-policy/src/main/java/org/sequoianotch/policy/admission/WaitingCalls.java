package org.sequoianotch.policy.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Queue of one instance, ordered by importance and by expiry.
 *
 * <p>This class is not thread-safe.
 */
final class WaitingCalls {
    private final TreeSet<WaitingCall> byImportance = new TreeSet<>(WaitingCall.BY_IMPORTANCE);
    private final TreeSet<WaitingCall> byExpiry = new TreeSet<>(WaitingCall.BY_EXPIRY);

    int size() {
        return byImportance.size();
    }

    void add(WaitingCall call) {
        byImportance.add(call);
        byExpiry.add(call);
    }

    boolean remove(WaitingCall call) {
        byExpiry.remove(call);
        return byImportance.remove(call);
    }

    @Nullable
    WaitingCall mostImportant() {
        return byImportance.isEmpty() ? null : byImportance.first();
    }

    WaitingCall removeLeastImportant() {
        WaitingCall call = byImportance.last();
        remove(call);
        return call;
    }

    /** Removes the calls whose time is over. A call whose time ends right now may still start. */
    List<WaitingCall> removeExpired(double nowMs) {
        List<WaitingCall> expired = new ArrayList<>();
        while (!byExpiry.isEmpty() && byExpiry.first().expiresAtMs() < nowMs) {
            WaitingCall call = byExpiry.first();
            remove(call);
            expired.add(call);
        }
        return expired;
    }
}
