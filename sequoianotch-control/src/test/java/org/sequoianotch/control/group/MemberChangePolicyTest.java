package org.sequoianotch.control.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoianotch.control.group.MemberChangePolicy.Learner;
import org.sequoianotch.control.group.MemberChangePolicy.Voter;
import org.sequoianotch.model.HostId;

/** Guards against membership changes that lower the number of losses that a group bears. */
final class MemberChangePolicyTest {
    private static final MemberChangePolicy POLICY = new MemberChangePolicy(1_400, 2_000, 5, 7);
    private static final double ASKED_AT_MS = 10_000;

    private static Member member(String name) {
        return new Member(name + ".1", HostId.of(name), name);
    }

    private static Voter voter(String name, double silentMs, boolean leaving) {
        return new Voter(member(name), silentMs, leaving, silentMs > 0 ? ASKED_AT_MS - 1 : ASKED_AT_MS + 1);
    }

    private static List<Voter> withReplying(int replying, Voter... others) {
        Stream<Voter> voters = IntStream.range(0, replying).mapToObj(i -> voter("live-" + i, 0, false));
        return Stream.concat(voters, Stream.of(others)).toList();
    }

    private static Learner learner(String name, boolean caughtUp) {
        return new Learner(new Member(name + ".2", HostId.of(name), name), caughtUp, ASKED_AT_MS);
    }

    private static Stream<Arguments> groups() {
        Learner ready = learner("new", true);
        return Stream.of(
                Arguments.of("all reply", withReplying(6), List.of(ready), "+new.2"),
                Arguments.of("not caught up", withReplying(6), List.of(learner("new", false)), ""),
                Arguments.of("too many voters", withReplying(7), List.of(ready), ""),
                Arguments.of("unclear silence", withReplying(5, voter("a", 300, false)), List.of(ready), ""),
                Arguments.of("gone", withReplying(5, voter("a", 1_400, false)), List.of(ready), "-a.1"),
                Arguments.of(
                        "longest silence first",
                        withReplying(4, voter("a", 1_400, false), voter("b", 1_900, false)),
                        List.of(ready),
                        "-b.1"),
                Arguments.of(
                        "announced stop first",
                        withReplying(4, voter("a", 300, true), voter("b", 1_900, false)),
                        List.of(ready),
                        "-a.1"),
                Arguments.of(
                        "too few voters for a removal",
                        withReplying(3, voter("a", 9_000, false)),
                        List.of(ready),
                        "+new.2"),
                Arguments.of(
                        "new identity of a host",
                        withReplying(4, voter("a", 0, false)),
                        List.of(learner("a", true)),
                        "-a.1"),
                Arguments.of(
                        "place is filled before the next removal",
                        withReplying(3, voter("a", 1_400, false)),
                        List.of(learner("a", true), ready),
                        "+new.2"),
                Arguments.of(
                        "place is filled once the silence is clear",
                        withReplying(3, voter("a", 300, false)),
                        List.of(learner("a", true), ready),
                        ""),
                Arguments.of("silent, no successor", withReplying(5, voter("a", 2_000, false)), List.of(), "-a.1"),
                Arguments.of("silent for less", withReplying(5, voter("a", 1_999, false)), List.of(), ""),
                Arguments.of("stop, no successor", withReplying(5, voter("a", 1_400, true)), List.of(), "-a.1"),
                Arguments.of("as many as needed", withReplying(4, voter("a", 9_000, false)), List.of(), ""));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("groups")
    void nextChangeKeepsTheToleratedLosses(String name, List<Voter> voters, List<Learner> learners, String expected) {
        String change = POLICY.nextChange(voters, learners)
                .map(next -> (next.isAddition() ? "+" : "-") + next.member().id())
                .orElse("");

        assertThat(change).isEqualTo(expected);
    }

    /** Members of a group whose hosts are named in the settings are only changed by operators and new identities. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("groups")
    void silentVoterOfAFixedGroupIsNotRemoved(
            String name, List<Voter> voters, List<Learner> learners, String expected) {
        MemberChangePolicy fixed = new MemberChangePolicy(1_400, 0, 1, 9);

        boolean removes = fixed.nextChange(voters, learners)
                .filter(change -> !change.isAddition())
                .isPresent();

        boolean hasNewIdentity = learners.stream()
                .anyMatch(learner -> learner.caughtUp()
                        && voters.stream().anyMatch(voter -> voter.member()
                                .host()
                                .equals(learner.member().host())));
        assertThat(removes).isEqualTo(hasNewIdentity);
    }
}
