package org.sequoianotch.control.group;

/** Replication progress of one peer. Guarded by the lock of {@link RaftMember}. */
final class PeerProgress {
    private static final double NEVER_MS = Double.NEGATIVE_INFINITY;

    final Member member;
    boolean voter;
    long sequence;
    boolean inFlight;
    /** When the newest request was created. */
    double sentAtMs = NEVER_MS;
    /** When the newest request acknowledged in the current term was created; the leader lease starts there. */
    double ackedSentAtMs = NEVER_MS;
    /** When the first request without a reply was created; kept over the rounds of an election. */
    double silentSinceMs = NEVER_MS;
    /** Whether the peer has announced its stop and has not replied since. */
    boolean leaving;
    /** When the peer became a learner. */
    double learnerSinceMs = NEVER_MS;
    /** True from a failed request until the next reply; the peer is sent heartbeats only. */
    boolean unresponsive;

    long nextIndex = 1;
    long matchIndex;
    long sentCommitIndex;
    long snapshotOffsetBytes;
    long snapshotIndex;
    boolean voteRequested;
    /** True if a heartbeat is to be sent at once, before it is due. */
    boolean heartbeatRequested;

    PeerProgress(Member member) {
        this.member = member;
    }

    void onSent(double nowMs) {
        inFlight = true;
        sequence++;
        sentAtMs = nowMs;
        if (!isSilent()) {
            silentSinceMs = nowMs;
        }
    }

    void onCompleted(boolean replied) {
        inFlight = false;
        unresponsive = !replied;
        if (replied) {
            endSilence();
            leaving = false;
        }
    }

    boolean isSilent() {
        return silentSinceMs != NEVER_MS;
    }

    void endSilence() {
        silentSinceMs = NEVER_MS;
    }

    /** Discards the progress of an earlier term or election round, but keeps the sequence number. */
    void reset(long lastIndex) {
        inFlight = false;
        unresponsive = false;
        sentAtMs = NEVER_MS;
        ackedSentAtMs = NEVER_MS;
        nextIndex = lastIndex + 1;
        matchIndex = 0;
        sentCommitIndex = 0;
        snapshotOffsetBytes = 0;
        snapshotIndex = 0;
        voteRequested = false;
        heartbeatRequested = false;
    }
}
