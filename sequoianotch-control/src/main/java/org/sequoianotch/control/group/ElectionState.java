package org.sequoianotch.control.group;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.sequoianotch.time.Clock;

/** Election timer and votes of one member. Guarded by the lock of {@link RaftMember}. */
final class ElectionState {
    private final Clock clock;
    private final Random random;
    private final long timeoutMs;
    private final Set<String> votes = new HashSet<>();
    /** Members without a vote in the round that was described last. */
    private List<String> lastMissing = List.of();
    /** Time of the last request from a leader; votes are refused for one election timeout after it. */
    private double lastLeaderContactMs;

    private double electionDueAtMs;

    /** Starts as if a leader had just sent a request, because one may have done so before the member was stopped. */
    ElectionState(Clock clock, Random random, long timeoutMs) {
        this.clock = clock;
        this.random = random;
        this.timeoutMs = timeoutMs;
        onLeaderContact();
    }

    void onLeaderContact() {
        lastMissing = List.of();
        lastLeaderContactMs = clock.monotonicMs();
        resetTimeout();
    }

    /**
     * Ends the protection of a leader that announced its stop. The next election starts within half of an election
     * timeout, at a random time so that few members start one at once.
     */
    void onLeaderLeft() {
        lastLeaderContactMs = Double.NEGATIVE_INFINITY;
        electionDueAtMs = clock.monotonicMs() + timeoutMs * random.nextDouble() / 2;
    }

    void resetTimeout() {
        electionDueAtMs = clock.monotonicMs() + timeoutMs * (1 + random.nextDouble());
    }

    boolean isTimedOut() {
        return clock.monotonicMs() >= electionDueAtMs;
    }

    /** Returns whether a leader sent a request within the election timeout, during which votes are refused. */
    boolean hasRecentLeader() {
        return lastLeaderContactMs + timeoutMs > clock.monotonicMs();
    }

    void startRound() {
        votes.clear();
        resetTimeout();
    }

    /**
     * Brings the next round forward, at a random time, because another candidate has votes of this term. Two candidates
     * that wait for the whole election timeout may leave a group without a leader for several of them.
     */
    void onVoteDenied() {
        electionDueAtMs = Math.min(electionDueAtMs, clock.monotonicMs() + timeoutMs * (1 + random.nextDouble()) / 2);
    }

    void addVote(String memberId) {
        votes.add(memberId);
    }

    /**
     * Describes the round for a log line. Returns empty if the same votes were missing when it was last described, so
     * that a host that is cut off for long does not repeat itself.
     */
    Optional<String> describeUnlessRepeated(MemberSet members) {
        List<String> missing = members.members().stream()
                .map(Member::id)
                .filter(id -> !votes.contains(id))
                .toList();
        if (missing.equals(lastMissing)) {
            return Optional.empty();
        }
        lastMissing = missing;
        return Optional.of((members.members().size() - missing.size()) + " of " + members.majority()
                + " votes that a majority needs; no vote of " + missing);
    }

    boolean isWon(MemberSet members) {
        return votes.size() >= members.majority();
    }
}
