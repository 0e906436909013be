package org.sequoianotch.control.group;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which member a leader adds to its group or removes from it.
 *
 * <p>The rules keep the number of voters close to the number of control hosts, so that a group of {@code 2f + 1} hosts
 * or more has a majority while {@code f} of them are lost, also after any number of replacements:
 *
 * <ul>
 *   <li>A new identity of a host replaces the previous one.
 *   <li>A new member takes the place of a voter that is gone: the voter is removed first, which lowers the majority,
 *       and the new member is added next.
 *   <li>Without a voter that is gone, a new member becomes an additional voter, but only once every voter has replied
 *       to a request that was sent after the new member asked for admission. The predecessor of the new member cannot
 *       have done that, so its place is not kept beside that of its successor.
 *   <li>A voter that stays silent, or has announced its stop, is removed without a successor while more than
 *       {@code 2f + 1} voters are left. Its successor may have been admitted before it was lost.
 * </ul>
 *
 * <p>In a group of {@code 2f + 1} voters or more, a removal never leaves fewer than {@code 2f}, so that each
 * acknowledged change is stored on more than {@code f} hosts. A voter that was removed while it was suspended or cut
 * off may ask for admission like a new member.
 *
 * <p>This type is immutable.
 *
 * @param goneAfterMs time without a reply after which a new member may take the place of a voter, and after which one
 *     that announced its stop is removed, in milliseconds; positive
 * @param removeAfterMs time without a reply after which a voter is removed without a successor, in milliseconds; zero
 *     if only operators and new identities of the same host remove a voter
 * @param minVoters number of voters that a removal without a successor leaves, {@code 2f + 1}; positive
 * @param maxVoters maximum number of voters; at least {@code minVoters}
 */
public record MemberChangePolicy(long goneAfterMs, long removeAfterMs, int minVoters, int maxVoters) {
    /** Checks the components. */
    public MemberChangePolicy {
        if (goneAfterMs <= 0 || removeAfterMs < 0 || minVoters < 1 || maxVoters < minVoters) {
            throw new IllegalArgumentException("goneAfterMs is " + goneAfterMs + ", removeAfterMs is " + removeAfterMs
                    + ", minVoters is " + minVoters + " and maxVoters is " + maxVoters
                    + ", but must be positive, at least 0, at least 1 and at least minVoters");
        }
    }

    /**
     * What the leader knows of a voter; for the leader itself, {@code silentMs} is zero and {@code lastReplyAtMs} is
     * positive infinity.
     *
     * @param member the voter; not null
     * @param silentMs time since the first request without a reply, in milliseconds; zero if there is none
     * @param leaving whether the voter has announced its stop and has not replied since
     * @param lastReplyAtMs creation time of the newest request that it replied to, in milliseconds
     */
    record Voter(Member member, double silentMs, boolean leaving, double lastReplyAtMs) {}

    /**
     * What the leader knows of a new member.
     *
     * @param member the new member; not null
     * @param caughtUp whether it replies and stores every committed entry
     * @param sinceMs time of its request for admission, in milliseconds
     */
    record Learner(Member member, boolean caughtUp, double sinceMs) {}

    /**
     * A change of one member, which adds or removes it.
     *
     * @param member the member; not null
     * @param isAddition whether the member is added, and not removed
     * @param reason why the change is made, for the log; not null
     */
    public record Change(Member member, boolean isAddition, String reason) {}

    Optional<Change> nextChange(List<Voter> voters, List<Learner> learners) {
        List<Learner> ready = learners.stream().filter(Learner::caughtUp).toList();
        List<Learner> additional =
                ready.stream().filter(learner -> !hasPrevious(voters, learner)).toList();
        if (voters.size() < minVoters && !additional.isEmpty()) {
            // The place of a removed voter is filled before the next one is removed.
            return addition(voters, additional);
        }
        if (!ready.isEmpty()) {
            return replacedIdentity(voters, ready).or(() -> goneVoter(voters)).or(() -> addition(voters, ready));
        }
        return removeAfterMs > 0 && voters.size() > minVoters ? silentVoter(voters) : Optional.empty();
    }

    private static boolean hasPrevious(List<Voter> voters, Learner learner) {
        return voters.stream()
                .anyMatch(voter -> voter.member().host().equals(learner.member().host()));
    }

    private static Optional<Change> replacedIdentity(List<Voter> voters, List<Learner> ready) {
        return voters.stream()
                .map(Voter::member)
                .filter(member -> ready.stream()
                        .anyMatch(learner -> learner.member().host().equals(member.host())))
                .findFirst()
                .map(member -> new Change(member, false, "its host asks for admission under a new identity"));
    }

    private Optional<Change> goneVoter(List<Voter> voters) {
        if (removeAfterMs == 0 || voters.size() < minVoters) {
            return Optional.empty();
        }
        return voters.stream()
                .filter(this::isGone)
                .max(Comparator.comparing(Voter::leaving).thenComparingDouble(Voter::silentMs))
                .map(voter -> new Change(voter.member(), false, "a new member takes its place; " + silence(voter)));
    }

    private boolean isGone(Voter voter) {
        return voter.leaving() || voter.silentMs() >= goneAfterMs;
    }

    private Optional<Change> addition(List<Voter> voters, List<Learner> ready) {
        if (voters.size() >= maxVoters) {
            return Optional.empty();
        }
        return ready.stream()
                .filter(learner ->
                        voters.stream().allMatch(voter -> isGone(voter) || voter.lastReplyAtMs() > learner.sinceMs()))
                .findFirst()
                .map(learner -> new Change(learner.member(), true, "it asked for admission and has caught up"));
    }

    private Optional<Change> silentVoter(List<Voter> voters) {
        return voters.stream()
                .filter(voter -> voter.silentMs() >= (voter.leaving() ? goneAfterMs : removeAfterMs))
                .max(Comparator.comparingDouble(Voter::silentMs))
                .map(voter -> new Change(voter.member(), false, silence(voter)));
    }

    private static String silence(Voter voter) {
        return (voter.leaving() ? "it announced its stop, and has" : "it has") + " not replied for "
                + (long) voter.silentMs() + " ms";
    }
}
