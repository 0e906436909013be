package org.sequoianotch.control.group;

/**
 * Time and size limits of the Raft protocol.
 *
 * <p>This type is immutable.
 *
 * @param electionTimeoutMs minimum time without a leader before a member starts an election, in milliseconds; the
 *     maximum is twice that; positive
 * @param heartbeatMs interval between heartbeats of the leader, in milliseconds; positive and below half of the
 *     election timeout
 * @param requestTimeoutMs maximum wait for the reply of a member, in milliseconds; positive
 * @param snapshotEntries number of applied entries after which the log is compacted into a snapshot; positive
 * @param batchBytes maximum size of the entries in one request, in bytes; a single larger entry is still sent; positive
 */
public record GroupSettings(
        long electionTimeoutMs, long heartbeatMs, long requestTimeoutMs, int snapshotEntries, int batchBytes) {
    /**
     * Maximum size of the data of one entry, in bytes. A request with one entry has to fit into a frame of the peer
     * protocol, which is 256 KiB; the rest is for the names of the group and its members.
     */
    public static final int MAX_ENTRY_BYTES = 240 * 1024;

    private static final int DEFAULT_SNAPSHOT_ENTRIES = 1_000;
    /** Half of the maximum frame size of the peer protocol, which is 256 KiB. */
    private static final int DEFAULT_BATCH_BYTES = 128 * 1024;

    /** Checks the limits. */
    public GroupSettings {
        if (electionTimeoutMs <= 0 || heartbeatMs <= 0 || requestTimeoutMs <= 0) {
            throw new IllegalArgumentException(
                    "the times must be positive, but electionTimeoutMs is " + electionTimeoutMs + ", heartbeatMs is "
                            + heartbeatMs + " and requestTimeoutMs is " + requestTimeoutMs);
        }
        if (heartbeatMs * 2 >= electionTimeoutMs) {
            throw new IllegalArgumentException("heartbeatMs is " + heartbeatMs
                    + ", but must be below half of the election timeout of " + electionTimeoutMs + " ms");
        }
        if (snapshotEntries <= 0 || batchBytes <= 0) {
            throw new IllegalArgumentException("the sizes must be positive, but snapshotEntries is " + snapshotEntries
                    + " and batchBytes is " + batchBytes);
        }
    }

    /**
     * Creates the settings for an election timeout. The heartbeat interval is three tenths of it, so that two lost
     * replies in a row do not cause an election.
     *
     * @param electionTimeoutMs the election timeout in milliseconds; at least 50
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
     * Returns a copy with a different number of entries between snapshots.
     *
     * @param newSnapshotEntries the number of entries; positive
     * @return the copy, never null
     */
    public GroupSettings withSnapshotEntries(int newSnapshotEntries) {
        return new GroupSettings(electionTimeoutMs, heartbeatMs, requestTimeoutMs, newSnapshotEntries, batchBytes);
    }

    /**
     * Returns the duration of the leader lease, which is renewed by replies of a majority. Members refuse votes for the
     * whole election timeout; the lease is a tenth shorter to allow for clocks that run at different rates.
     *
     * @return the duration in milliseconds
     */
    double leaseMs() {
        return electionTimeoutMs * 0.9;
    }
}
