package org.sequoianotch.membership;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.ServiceName;

/** Tests the exchange of member states between data centres, in simulated groups under virtual time. */
class DataCentresTest {
    private static final ServiceName SPECDESK = ServiceName.of("specdesk");
    /** Two data centres in each exchange interval of 2 s, and one local exchange in five of them. */
    private static final double MAX_EXCHANGES_PER_S = 1.2;

    /** Traffic budget of each node in a group of 630 nodes. */
    private static final double BUDGET_BYTES_PER_S = 4_000;

    private static Simulation group(int dataCentres, int membersEach, long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.addAll(dataCentres, membersEach);
        int all = dataCentres * membersEach;
        double joinedMs = simulation.runUntilAll(30_000, node -> node.view().count(MemberState.ALIVE) == all);
        assertThat(joinedMs).isLessThan(30_000.0);
        simulation.running().forEach(node -> node.announce(BackendState.SERVING));
        double servingMs = simulation.runUntilAll(
                30_000, node -> node.view().instancesOf(SPECDESK).size() == all);
        assertThat(servingMs).isLessThan(30_000.0);
        simulation.run(5_000);
        return simulation;
    }

    /**
     * Guards requirement R6 across data centres, and the traffic budget: all 210 nodes must know of a drain within 3 s.
     * The main class {@code MembershipMeasurement} runs the same with 630 nodes, which takes too long for each build.
     */
    @Test
    void drainIsKnownEverywhereWithinThreeSeconds() {
        Simulation simulation = group(7, 30, 1);
        simulation.node("dc4-h020").announce(BackendState.DRAINING);
        double knownMs = simulation.runUntilAll(
                10_000, node -> node.view().instancesOf(SPECDESK).size() == 209);
        assertThat(knownMs).isLessThan(3_000.0);
        simulation.run(5_000);
        long[] before =
                simulation.running().stream().mapToLong(DataCentresTest::bytes).toArray();
        simulation.run(20_000);
        long[] after =
                simulation.running().stream().mapToLong(DataCentresTest::bytes).toArray();
        for (int i = 0; i < after.length; i++) {
            assertThat((after[i] - before[i]) / 20.0).isLessThan(BUDGET_BYTES_PER_S);
        }
    }

    /** Guards against a data centre whose changes no longer spread when its nodes that exchange with others crash. */
    @Test
    void othersTakeOverWhenContactsAreLost() {
        Simulation simulation = group(3, 10, 2);
        for (int i = 0; i < StateExchanger.CONTACTS_PER_DATA_CENTRE; i++) {
            simulation.node("dc0-h00" + i).crash();
        }
        double lossKnownMs = simulation.runUntilAll(60_000, node -> node.view().count(MemberState.FAILED) == 3);
        assertThat(lossKnownMs).isLessThan(20_000.0);
        simulation.node("dc0-h009").announce(BackendState.DRAINING);
        double drainKnownMs = simulation.runUntilAll(
                10_000, node -> node.view().instancesOf(SPECDESK).size() == 26);
        assertThat(drainKnownMs).isLessThan(3_000.0);
    }

    /** Guards requirement R10 and section 13: a partition must evict no member on either side; then views converge. */
    @Test
    void regionsConvergeAfterOneHourPartition() {
        Simulation simulation = group(4, 5, 3);
        simulation.partition((from, to) -> isFirstRegion(from) != isFirstRegion(to));
        simulation.run(30_000);
        simulation.clock().advance(3_600_000);
        simulation.run(10_000);
        assertThat(simulation.node("dc0-h000").view().count(MemberState.ALIVE)).isEqualTo(20);
        simulation.node("dc0-h003").announce(BackendState.DRAINING);
        simulation.node("dc3-h001").crash();
        simulation.node("dc2-h002").membership().setConfigurationRevision(8);
        simulation.run(20_000);
        assertThat(simulation.node("dc3-h000").view().instancesOf(SPECDESK)).hasSize(19);

        simulation.heal();
        double healedMs = simulation.runUntilAll(
                30_000,
                node -> node.view().instancesOf(SPECDESK).size() == 18
                        && node.view().count(MemberState.FAILED) == 1
                        && node.view().highestConfigurationRevision() == 8);
        assertThat(healedMs).isLessThan(10_000.0);
    }

    private static boolean isFirstRegion(Simulation.Node node) {
        return node.dataCentre.equals("dc0") || node.dataCentre.equals("dc1");
    }

    private static long bytes(Simulation.Node node) {
        MembershipCounters counters = node.membership().counters();
        return counters.datagramBytesSent() + counters.exchangeBytesSent();
    }

    /**
     * With an exchange with each other data centre, the exchanges of a contact grew with their number, and those of the
     * deployment with its square.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 9, 18})
    void exchangesOfANodeDoNotGrowWithTheNumberOfDataCentres(int dataCentres) {
        Simulation simulation = new Simulation(21);
        simulation.addAll(dataCentres, 4);
        simulation.run(30_000);
        long before = exchanges(simulation);
        simulation.run(60_000);

        double perNodeAndS = (exchanges(simulation) - before) / 60.0 / (4 * dataCentres);

        assertThat(perNodeAndS).isLessThan(MAX_EXCHANGES_PER_S);
    }

    private static long exchanges(Simulation simulation) {
        return simulation.running().stream()
                .mapToLong(node -> node.membership().counters().exchanges())
                .sum();
    }
}
