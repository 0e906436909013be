package org.sequoianotch.control.group;

import java.io.ByteArrayOutputStream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.control.group.GroupMessage.SnapshotReply;
import org.sequoianotch.control.group.GroupMessage.SnapshotRequest;
import org.sequoianotch.control.log.Snapshot;

/** Assembles a leader's snapshot from its chunks. Guarded by the lock of {@link RaftMember}. */
final class SnapshotAssembler {
    private static final Logger LOGGER = LogManager.getLogger(SnapshotAssembler.class);

    private ByteArrayOutputStream received = new ByteArrayOutputStream();
    private long lastIndex;
    private long term;

    /** Appends a chunk if it is the next one, and returns true if the snapshot is complete. */
    private boolean add(SnapshotRequest request) {
        if (request.lastIndex() != lastIndex || request.term() != term) {
            // Chunks of different leaders or snapshots must not be mixed.
            received = new ByteArrayOutputStream();
            lastIndex = request.lastIndex();
            term = request.term();
        }
        if (request.offsetBytes() != received.size()) {
            return false;
        }
        received.writeBytes(request.chunk());
        return request.last();
    }

    /** Receives a chunk, and installs the snapshot once it is complete. */
    SnapshotReply receive(SnapshotRequest request, Replica replica, long currentTerm) {
        if (request.lastIndex() <= replica.commitIndex()) {
            return new SnapshotReply(currentTerm, 0, true);
        }
        boolean complete = add(request);
        if (complete) {
            replica.install(Snapshot.of(received.toByteArray()));
            received = new ByteArrayOutputStream();
            lastIndex = 0;
            LOGGER.info("[control] Installed a snapshot up to entry {}.", request.lastIndex());
        }
        return new SnapshotReply(currentTerm, received.size(), complete);
    }
}
