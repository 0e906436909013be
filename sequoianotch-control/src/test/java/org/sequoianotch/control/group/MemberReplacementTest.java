package org.sequoianotch.control.group;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.sequoianotch.control.group.PlatformTimes.CATCH_UP_MS;
import static org.sequoianotch.control.group.PlatformTimes.RECOVERY_MS;
import static org.sequoianotch.control.group.PlatformTimes.START_DELAY_MS;
import static org.sequoianotch.control.group.PlatformTimes.TOLERATED_LOSSES;
import static org.sequoianotch.control.state.SampleTemplates.change;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoianotch.control.group.GroupSimulation.Host;
import org.sequoianotch.control.state.ChangeResult.Accepted;

/**
 * Guards against a group without a majority after hosts were replaced for good by empty ones at other addresses, never
 * more than the tolerated number at a time. The places of lost voters must not be kept beside those of successors.
 */
final class MemberReplacementTest {
    private static final int HOSTS = 6;
    private static final long SEEDS = 40;

    /** How a host is lost. */
    enum Loss {
        KILLED {
            @Override
            void lose(Host host) {
                host.stop();
            }
        },
        STOPPED {
            @Override
            void lose(Host host) {
                host.stopWithNotice();
            }
        };

        abstract void lose(Host host);
    }

    private static Stream<Arguments> lossesAndSeeds() {
        return Stream.of(Loss.values())
                .flatMap(loss -> LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> Arguments.of(loss, seed)));
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private static GroupSimulation newGroup(long seed) {
        GroupSimulation group = new GroupSimulation(HOSTS, seed);
        group.policy = PlatformTimes.memberChangePolicy();
        return group;
    }

    /** The leader and another host are lost in each wave, and the next wave follows as soon as it may. */
    @ParameterizedTest
    @MethodSource("lossesAndSeeds")
    void pairsWithTheLeaderAreReplacedInWaves(Loss loss, long seed) {
        GroupSimulation group = newGroup(seed);
        List<Host> present = new ArrayList<>(group.hosts);
        int revision = 0;
        for (int wave = 0; wave < 4; wave++) {
            revision = acceptChange(group, revision);
            Host leader = group.awaitLeader();
            List<Host> lost = List.of(
                    leader,
                    present.stream().filter(host -> host != leader).findFirst().orElseThrow());
            lost.forEach(loss::lose);
            present.removeAll(lost);
            group.run(START_DELAY_MS);
            present.add(group.startNewHost());
            present.add(group.startNewHost());
            group.run(CATCH_UP_MS);
        }
        assertStands(group, present, revision);
    }

    /** A freeze lasts as long as a loss; the place of the suspended host may go to the successor of another one. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hostIsReplacedWhileAnotherIsSuspended(long seed) {
        GroupSimulation group = newGroup(seed);
        List<Host> present = new ArrayList<>(group.hosts);
        int revision = acceptChange(group, 0);
        Host suspended = group.awaitLeader();
        suspended.suspended = true;
        Host lost =
                present.stream().filter(host -> host != suspended).findFirst().orElseThrow();
        lost.stop();
        present.remove(lost);
        group.run(START_DELAY_MS);
        present.add(group.startNewHost());
        group.run(CATCH_UP_MS);
        suspended.suspended = false;
        group.run(CATCH_UP_MS);
        revision = acceptChange(group, revision);

        Host leader = group.awaitLeader();
        Host second = present.stream()
                .filter(host -> host != leader && host != suspended)
                .findFirst()
                .orElseThrow();
        List.of(leader, second).forEach(Host::stop);
        present.removeAll(List.of(leader, second));

        assertStands(group, present, revision);
    }

    /** In a planned replacement the successors come first; the voters must not stay twice as many for long. */
    @ParameterizedTest
    @MethodSource("lossesAndSeeds")
    void successorsStartBeforeTheirPredecessorsAreLost(Loss loss, long seed) {
        GroupSimulation group = newGroup(seed);
        List<Host> present = new ArrayList<>(group.hosts);
        int revision = acceptChange(group, 0);
        present.add(group.startNewHost());
        present.add(group.startNewHost());
        group.run(CATCH_UP_MS);
        for (int i = 0; i < 2; i++) {
            Host leader = group.awaitLeader();
            loss.lose(leader);
            present.remove(leader);
        }
        group.run(CATCH_UP_MS);
        revision = acceptChange(group, revision);
        List<Host> lost = List.copyOf(present.subList(0, TOLERATED_LOSSES));
        lost.forEach(Host::stop);
        present.removeAll(lost);

        assertStands(group, present, revision);
    }

    /** The next leader must complete a replacement that the previous one has begun, at whatever step it ended. */
    @ParameterizedTest
    @MethodSource("seeds")
    void leaderIsLostHalfWayThroughAReplacement(long seed) {
        GroupSimulation group = newGroup(seed);
        List<Host> present = new ArrayList<>(group.hosts);
        int revision = acceptChange(group, 0);
        Host leader = group.awaitLeader();
        Host lost = present.stream().filter(host -> host != leader).findFirst().orElseThrow();
        lost.stop();
        present.remove(lost);
        group.run(START_DELAY_MS);
        present.add(group.startNewHost());
        for (int i = 0;
                i < 1_000 && leader.raft.status().members().memberOf(lost.id).isPresent();
                i++) {
            group.step();
        }
        group.run(seed % 8 * GroupSimulation.STEP_MS);
        leader.stop();
        present.remove(leader);
        group.run(START_DELAY_MS);
        present.add(group.startNewHost());
        group.run(CATCH_UP_MS);
        List<Host> lostNext = List.copyOf(present.subList(0, TOLERATED_LOSSES));
        lostNext.forEach(Host::stop);
        present.removeAll(lostNext);

        assertStands(group, present, revision);
    }

    private static int acceptChange(GroupSimulation group, int revision) {
        assertThat(group.submitWithRetries(change("c" + revision, "ana", 1_000 + revision, revision)))
                .isEqualTo(new Accepted(revision + 1));
        return revision + 1;
    }

    /** A leader must come again that has the acknowledged changes, and all present hosts must have one vote each. */
    private static void assertStands(GroupSimulation group, List<Host> present, int revision) {
        group.run(RECOVERY_MS);
        assertWithMessage("a leader").that(group.leader()).isPresent();
        Host leader = group.leader().orElseThrow();
        assertThat(leader.raft.readCurrent(leader.state::revision).get()).isEqualTo(revision);
        assertThat(leader.raft.status().members().members())
                .containsAtLeastElementsIn(present.stream().map(Host::member).toList());
        acceptChange(group, revision);
    }
}
