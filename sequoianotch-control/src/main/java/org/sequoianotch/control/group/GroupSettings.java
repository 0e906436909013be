package org.sequoianotch.control.group;

/**
 * Time and size limits of the quorum protocol.
 *
 * <p>This type is immutable.
 *
 * @param electionTimeoutMs shortest time without a leader before a member stands for election; the longest is twice
 *     that; positive
 * @param heartbeatMs time between two heartbeats of the leader; positive and below half of the election timeout
 * @param requestTimeoutMs longest wait for an answer of a member; positive
 * @param snapshotEntries number of applied entries after which the log is replaced by a snapshot; positive
 * @param batchBytes entries are sent together up to this size, but at least one; positive
 */
public record GroupSettings(
        long electionTimeoutMs, long heartbeatMs, long requestTimeoutMs, int snapshotEntries, int batchBytes) {
    private static final int DEFAULT_SNAPSHOT_ENTRIES = 1_000;
    /** Half of the largest frame of the inner protocol. */
    private static final int DEFAULT_BATCH_BYTES = 128 * 1024;

    /** Checks the limits. */
    public GroupSettings {
        if (electionTimeoutMs <= 0 || heartbeatMs <= 0 || requestTimeoutMs <= 0) {
            throw new IllegalArgumentException("the times must be positive");
        }
        if (heartbeatMs * 2 >= electionTimeoutMs) {
            throw new IllegalArgumentException("heartbeatMs is " + heartbeatMs
                    + ", but must be below half of the election timeout of " + electionTimeoutMs + " ms");
        }
        if (snapshotEntries <= 0 || batchBytes <= 0) {
            throw new IllegalArgumentException("the sizes must be positive");
        }
    }

    /**
     * Creates the settings for an election timeout: heartbeats at three tenths of it, so that two lost answers are
     * survived.
     *
     * @param electionTimeoutMs the election timeout, at least 50 ms
     * @return the settings, never null
     */
    public static GroupSettings of(long electionTimeoutMs) {
        return new GroupSettings(
                electionTimeoutMs,
                Math.max(1, electionTimeoutMs * 3 / 10),
                Math.max(1, electionTimeoutMs * 2 / 5),
                DEFAULT_SNAPSHOT_ENTRIES,
                DEFAULT_BATCH_BYTES);
    }

    /**
     * Returns a copy with another number of entries between snapshots.
     *
     * @param newSnapshotEntries the number; positive
     * @return the copy, never null
     */
    public GroupSettings withSnapshotEntries(int newSnapshotEntries) {
        return new GroupSettings(electionTimeoutMs, heartbeatMs, requestTimeoutMs, newSnapshotEntries, batchBytes);
    }

    /**
     * Returns how long a majority's answers allow a leader to answer as current. Members refuse votes for the whole
     * election timeout; the tenth covers clocks that run at different speeds.
     *
     * @return the time in milliseconds
     */
    double leaseMs() {
        return electionTimeoutMs * 0.9;
    }
}
