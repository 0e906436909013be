package org.sequoianotch.control.group;

import java.io.ByteArrayOutputStream;
import org.sequoianotch.control.group.GroupMessage.SnapshotRequest;
import org.sequoianotch.control.log.Snapshot;

/** Collects the parts of a leader's snapshot. Guarded by the lock of {@link RaftMember}. */
final class SnapshotInbox {
    private ByteArrayOutputStream parts = new ByteArrayOutputStream();
    private long lastIndex;
    private long term;

    /** Adds a part if it is the next one, and returns true if the snapshot is complete. */
    boolean add(SnapshotRequest request) {
        if (request.lastIndex() != lastIndex || request.term() != term) {
            // Parts of different leaders are not mixed.
            parts = new ByteArrayOutputStream();
            lastIndex = request.lastIndex();
            term = request.term();
        }
        if (request.offsetBytes() != parts.size()) {
            return false;
        }
        parts.writeBytes(request.part());
        return request.last();
    }

    long nextOffset() {
        return parts.size();
    }

    Snapshot take() {
        Snapshot snapshot = Snapshot.of(parts.toByteArray());
        parts = new ByteArrayOutputStream();
        lastIndex = 0;
        return snapshot;
    }
}
