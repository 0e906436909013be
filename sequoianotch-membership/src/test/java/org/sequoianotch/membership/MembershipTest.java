package org.sequoianotch.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.ServiceName;

/** Tests joining, failure detection and gossip inside one data centre, in simulated groups under virtual time. */
class MembershipTest {
    private static final ServiceName SPECDESK = ServiceName.of("specdesk");
    private static final DataCentre DC0 = DataCentre.of("dc0");

    private static Simulation group(int members, long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.addAll(1, members);
        double joinedMs = simulation.runUntilAll(10_000, node -> node.view().count(MemberState.ALIVE) == members);
        assertThat(joinedMs).isLessThan(10_000.0);
        simulation.run(3_000);
        return simulation;
    }

    /** Guards against a node that stays alone although it knows a seed address. */
    @ParameterizedTest
    @ValueSource(ints = {2, 5, 90})
    void joinsThroughOneSeed(int members) {
        Simulation simulation = new Simulation(1);
        simulation.addAll(1, members);
        double joinedMs = simulation.runUntilAll(5_000, node -> node.view().count(MemberState.ALIVE) == members);
        assertThat(joinedMs).isLessThan(5_000.0);
    }

    /** Guards against a node that stops trying to join if its seed starts after it. */
    @Test
    void joinsWhenTheSeedStartsLater() {
        Simulation simulation = new Simulation(2);
        simulation.add("b", "dc0", "a");
        simulation.run(10_000);
        simulation.add("a", "dc0", "a");
        double joinedMs = simulation.runUntilAll(5_000, node -> node.view().count(MemberState.ALIVE) == 2);
        assertThat(joinedMs).isLessThan(5_000.0);
    }

    /** Guards against nodes that stay apart because their seeds are all gone, although one has stored an address. */
    @Test
    void joinsThroughAnAddedAddressIfAllSeedsAreGone() {
        Simulation simulation = new Simulation(3);
        simulation.add("a", "dc0", "gone");
        simulation.add("b", "dc0", "gone");
        simulation.run(10_000);
        assertThat(simulation.node("a").view().count(MemberState.ALIVE)).isEqualTo(1);

        simulation.node("a").membership().addSeeds(List.of("b"));

        double joinedMs = simulation.runUntilAll(5_000, node -> node.view().count(MemberState.ALIVE) == 2);
        assertThat(joinedMs).isLessThan(5_000.0);
    }

    /** Guards against calls to a dead host for longer than a few seconds, and against eviction of healthy members. */
    @ParameterizedTest
    @ValueSource(ints = {5, 20, 90})
    void detectsCrash(int members) {
        Simulation simulation = group(members, 3);
        Map<String, Integer> failed = simulation.countReports(MemberState.FAILED);
        Simulation.Node victim = simulation.node("dc0-h002");
        victim.crash();
        double detectedMs =
                simulation.runUntilAll(20_000, node -> node.memberOf(victim).state() == MemberState.FAILED);
        simulation.run(10_000);
        assertThat(detectedMs).isLessThan(8_000.0);
        assertThat(failed.keySet()).containsExactly("dc0-h002");
    }

    /** Guards against slow detection when the loss of a rack stops a fifth of the members at once. */
    @Test
    void detectsLossOfRack() {
        Simulation simulation = group(50, 4);
        Map<String, Integer> failed = simulation.countReports(MemberState.FAILED);
        for (int i = 10; i < 20; i++) {
            simulation.node("dc0-h%03d".formatted(i)).crash();
        }
        double detectedMs = simulation.runUntilAll(30_000, node -> node.view().count(MemberState.FAILED) == 10);
        simulation.run(10_000);
        assertThat(detectedMs).isLessThan(15_000.0);
        assertThat(failed.keySet()).hasSize(10);
    }

    /** Guards requirement R6: all nodes must know of a planned stop within 3 s, and must not take it for a failure. */
    @Test
    void leaveSpreadsAndIsNotReportedAsFailure() {
        Simulation simulation = group(30, 5);
        simulation.running().forEach(node -> node.announce(BackendState.SERVING));
        simulation.run(3_000);
        Map<String, Integer> failed = simulation.countReports(MemberState.FAILED);
        Simulation.Node leaver = simulation.node("dc0-h007");
        leaver.membership().beginLeave();
        double knownMs = simulation.runUntilAll(
                10_000,
                node -> node.memberOf(leaver).state() == MemberState.LEFT
                        && node.view().instancesOf(SPECDESK).size() == 29);
        assertThat(knownMs).isLessThan(3_000.0);
        assertThat(simulation.runUntil(5_000, leaver.membership()::hasDisseminatedUpdates))
                .isLessThan(3_000.0);
        leaver.crash();
        simulation.run(15_000);
        assertThat(failed).isEmpty();
    }

    /** Guards against eviction of a healthy member by the only node that cannot reach it. */
    @Test
    void linkFailureBetweenTwoMembersDoesNotEvict() {
        Simulation simulation = group(10, 6);
        Map<String, Integer> failed = simulation.countReports(MemberState.FAILED);
        simulation.partition((from, to) -> isBetween(from, to, "dc0-h001", "dc0-h002"));
        simulation.run(120_000);
        assertThat(failed).isEmpty();
        assertThat(simulation.node("dc0-h001").membership().counters().probes()).isAtLeast(100L);
        assertThat(sum(simulation, MembershipCounters::suspicions)).isEqualTo(0);
    }

    /** Guards against eviction of members behind lossy links, although they refute suspicions in time. */
    @Test
    void datagramLossDoesNotEvict() {
        Simulation simulation = group(20, 7);
        Map<String, Integer> failed = simulation.countReports(MemberState.FAILED);
        simulation.dropDatagrams(0.25, (from, to) -> from.host.equals("dc0-h003") || to.host.equals("dc0-h003"));
        simulation.run(120_000);
        assertThat(failed).isEmpty();
        assertThat(sum(simulation, MembershipCounters::suspicionsRefuted)).isGreaterThan(0L);
    }

    /** Guards against eviction of members when every datagram is delayed but none is lost. */
    @Test
    void slowNetworkDoesNotEvict() {
        Simulation simulation = group(20, 8);
        Map<String, Integer> failed = simulation.countReports(MemberState.FAILED);
        simulation.setDelayMs(200);
        simulation.run(60_000);
        assertThat(failed).isEmpty();
    }

    /** Guards against views that do not converge after a partition inside a data centre. */
    @Test
    void partitionHealsWithoutRestart() {
        Simulation simulation = group(20, 9);
        simulation.partition((from, to) -> isInFirstHalf(from) != isInFirstHalf(to));
        double splitMs = simulation.runUntilAll(60_000, node -> node.view().count(MemberState.FAILED) == 10);
        assertThat(splitMs).isLessThan(60_000.0);
        simulation.heal();
        double healedMs = simulation.runUntilAll(60_000, node -> node.view().count(MemberState.ALIVE) == 20);
        assertThat(healedMs).isLessThan(30_000.0);
    }

    /** Guards against updates of an old process that hide its successor on the host, even if the clock was set back. */
    @ParameterizedTest
    @ValueSource(longs = {0, -3_600_000})
    void restartWinsByHigherIncarnation(long clockChangeMs) {
        Simulation simulation = group(10, 10);
        Simulation.Node node = simulation.node("dc0-h004");
        node.announce(BackendState.DRAINING);
        simulation.run(2_000);
        long before = node.memberOf(node).incarnation();
        node.crash();
        simulation.run(500);
        node.setClockOffset(clockChangeMs);
        node.restart();
        node.announce(BackendState.SERVING);
        double knownMs = simulation.runUntilAll(
                10_000,
                other -> other.memberOf(node).incarnation() > before
                        && other.memberOf(node).state() == MemberState.ALIVE
                        && other.view().instancesOf(SPECDESK).size() == 1);
        assertThat(knownMs).isLessThan(5_000.0);
    }

    /** Guards against a process that resumes after a pause and evicts all others, or stays evicted itself. */
    @Test
    void frozenNodeRejoinsWithoutEvictingOthers() {
        Simulation simulation = group(10, 11);
        Simulation.Node node = simulation.node("dc0-h004");
        node.freeze();
        simulation.runUntil(
                20_000, () -> simulation.node("dc0-h000").memberOf(node).state().equals(MemberState.FAILED));
        simulation.run(20_000);
        Map<String, Integer> failed = simulation.countReports(MemberState.FAILED);
        node.resume();
        double healedMs = simulation.runUntilAll(30_000, other -> other.view().count(MemberState.ALIVE) == 10);
        assertThat(healedMs).isLessThan(15_000.0);
        failed.remove(node.host);
        assertThat(failed).isEmpty();
    }

    /** Guards against forged, altered, truncated and empty datagrams. */
    @Test
    void forgedDatagramIsDroppedAndCounted() {
        Simulation simulation = group(3, 12);
        Simulation.Node node = simulation.node("dc0-h000");
        Member victim = node.memberOf(simulation.node("dc0-h001"));
        Datagram header =
                new Datagram(Datagram.Type.GOSSIP, 1, victim.host(), "x", 0, 99, victim.host(), "x", List.of());
        byte[] update = MemberCodec.encode(victim.withState(MemberState.LEFT, victim.stateSinceMs()));
        byte[] genuine = new DatagramCodec(Simulation.DEPLOYMENT_KEY).encode(header, List.of(update));
        byte[] forged = new DatagramCodec("another key").encode(header, List.of(update));
        byte[] changed = genuine.clone();
        changed[changed.length - 1] ^= 1;

        node.receive(forged);
        node.receive(changed);
        node.receive(Arrays.copyOf(genuine, 20));
        node.receive(new byte[0]);

        assertThat(node.membership().counters().datagramsDropped()).isEqualTo(4);
        assertThat(node.memberOf(simulation.node("dc0-h001")).state()).isEqualTo(MemberState.ALIVE);
        assertThat(node.view().highestConfigurationRevision()).isEqualTo(0);
        node.receive(genuine);
        assertThat(node.memberOf(simulation.node("dc0-h001")).state()).isEqualTo(MemberState.LEFT);
    }

    /** Guards against dead members that are never removed, and against an old update that restores them. */
    @Test
    void deadMemberIsRemovedAndNotRestoredByOldUpdate() {
        Simulation simulation = group(3, 13);
        Simulation.Node dead = simulation.node("dc0-h002");
        Simulation.Node node = simulation.node("dc0-h000");
        Member old = node.memberOf(dead);
        dead.crash();
        simulation.run(15_000);
        simulation.clock().advance(86_400_000);
        simulation.run(120_000);
        assertThat(node.view().membersOf(DC0)).hasSize(2);

        Datagram header = new Datagram(Datagram.Type.GOSSIP, 1, old.host(), "x", 0, 0, old.host(), "x", List.of());
        node.receive(new DatagramCodec(Simulation.DEPLOYMENT_KEY).encode(header, List.of(MemberCodec.encode(old))));
        simulation.run(5_000);
        assertThat(node.view().membersOf(DC0)).hasSize(2);
        assertThat(node.view().count(MemberState.ALIVE)).isEqualTo(2);
    }

    /** Guards requirement R8: a raised revision must reach all nodes in seconds; a lower one must change nothing. */
    @Test
    void highestRevisionSpreads() {
        Simulation simulation = group(30, 14);
        simulation.node("dc0-h009").membership().setConfigurationRevision(17);
        double knownMs = simulation.runUntilAll(10_000, node -> node.view().highestConfigurationRevision() == 17);
        assertThat(knownMs).isLessThan(4_000.0);
        simulation.node("dc0-h009").membership().setConfigurationRevision(5);
        simulation.node("dc0-h010").membership().setConfigurationRevision(5);
        simulation.run(60_000);
        simulation.running().forEach(node -> {
            assertThat(node.view().highestConfigurationRevision()).isEqualTo(17);
            assertThat(node.memberOf(simulation.node("dc0-h009")).configurationRevision())
                    .isEqualTo(17);
            assertThat(node.memberOf(simulation.node("dc0-h010")).configurationRevision())
                    .isEqualTo(5);
        });
    }

    private static long sum(Simulation simulation, ToLongFunction<MembershipCounters> count) {
        return simulation.running().stream()
                .mapToLong(node -> count.applyAsLong(node.membership().counters()))
                .sum();
    }

    private static boolean isBetween(Simulation.Node from, Simulation.Node to, String one, String two) {
        return from.host.equals(one) && to.host.equals(two) || from.host.equals(two) && to.host.equals(one);
    }

    private static boolean isInFirstHalf(Simulation.Node node) {
        return node.host.compareTo("dc0-h010") < 0;
    }
}
