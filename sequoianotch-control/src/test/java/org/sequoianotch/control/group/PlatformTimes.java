package org.sequoianotch.control.group;

/** The platform's times, at the ratio of the simulation's election timeout to that of a control host. */
final class PlatformTimes {
    /** Losses that a group bears at a time. */
    static final int TOLERATED_LOSSES = 2;

    static final long START_DELAY_MS = scaled(1_000);
    static final long CATCH_UP_MS = scaled(4_000);
    static final long RECOVERY_MS = scaled(15_000);
    static final long REMOVE_AFTER_MS = scaled(2_000);
    private static final long CONTROL_HOST_ELECTION_TIMEOUT_MS = 700;
    private static final int MAX_VOTERS = 9;

    private PlatformTimes() {}

    static long scaled(long platformMs) {
        return platformMs * GroupSimulation.SETTINGS.electionTimeoutMs() / CONTROL_HOST_ELECTION_TIMEOUT_MS;
    }

    /** Returns the policy of a control host. */
    static MemberChangePolicy memberChangePolicy() {
        long goneAfterMs = 2 * GroupSimulation.SETTINGS.electionTimeoutMs();
        return new MemberChangePolicy(goneAfterMs, REMOVE_AFTER_MS, 2 * TOLERATED_LOSSES + 1, MAX_VOTERS);
    }
}
