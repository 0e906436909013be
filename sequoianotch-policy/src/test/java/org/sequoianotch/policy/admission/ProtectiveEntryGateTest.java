package org.sequoianotch.policy.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.policy.TestInstances;
import org.sequoianotch.time.ManualClock;

/** Guards against shedding in the wrong order, and against refusals that continue after the overload has ended. */
final class ProtectiveEntryGateTest {
    private static final HostId HOST = HostId.of("host-1");
    private static final List<Instance> INSTANCES = List.of(TestInstances.of("host-1", "brest", "west", 10, 0));

    private final ManualClock clock = ManualClock.startingAt(0);
    private final EntryGate gate = PolicyMode.PROTECTIVE.newEntryGate(clock, new Random(1));

    @Test
    void admitsTheReportedFractionInTheOrderOfCriticality() {
        gate.observe(HOST, new LoadReport(10, 10, 5, 1.3));
        assertThat(admitted(Criticality.CRITICAL, 1_000)).isEqualTo(1_000);
        assertThat(admitted(Criticality.STANDARD, 1_000) / 1_000.0)
                .isWithin(0.05)
                .of(0.3);
        assertThat(admitted(Criticality.SHEDDABLE, 1_000)).isEqualTo(0);
    }

    @Test
    void probesAreAdmittedAfterALevelExpiresUntilANewReportArrives() {
        gate.observe(HOST, new LoadReport(10, 10, 5, 1.0));
        clock.advance(1_000);
        assertThat(admitted(Criticality.CRITICAL, 100)).isEqualTo(100);
        assertThat(admitted(Criticality.SHEDDABLE, 100)).isEqualTo(1);
        clock.advance(100);
        assertThat(admitted(Criticality.STANDARD, 100)).isEqualTo(1);
        gate.observe(HOST, new LoadReport(1, 10, 0, 3.0));
        assertThat(admitted(Criticality.SHEDDABLE, 100)).isEqualTo(100);
    }

    @Test
    void discardsALevelThatIsNotRefreshed() {
        gate.observe(HOST, new LoadReport(10, 10, 5, 0.1));
        clock.advance(3_000);
        assertThat(admitted(Criticality.SHEDDABLE, 100)).isEqualTo(100);
    }

    /** Callers were refused because one instance names a rate, while others had room. */
    @Test
    void instanceThatNamesARateIsLeftOutBesideOthers() {
        List<Instance> two = List.of(INSTANCES.get(0), TestInstances.of("host-2", "brest", "west", 10, 0));
        gate.observe(HOST, rateLimited(5, 0.5));

        assertThat(admitted(Criticality.SHEDDABLE, 100, two)).isEqualTo(100);
        gate.observe(HostId.of("host-2"), new LoadReport(1, 10, 0, 3.0));
        assertThat(admitted(Criticality.SHEDDABLE, 100, two)).isEqualTo(100);
    }

    @Test
    void levelsAreWeightedByTheRatesIfAllInstancesNameOne() {
        List<Instance> two = List.of(INSTANCES.get(0), TestInstances.of("host-2", "brest", "west", 10, 0));
        gate.observe(HOST, rateLimited(0, 0.1));
        gate.observe(HostId.of("host-2"), rateLimited(100, 3.0));
        assertThat(admitted(Criticality.SHEDDABLE, 1_000, two)).isAtLeast(990);

        gate.observe(HostId.of("host-2"), rateLimited(100, 2.5));
        assertThat(admitted(Criticality.SHEDDABLE, 1_000, two) / 1_000.0)
                .isWithin(0.05)
                .of(0.5);
        assertThat(admitted(Criticality.STANDARD, 1_000, two)).isAtLeast(990);
    }

    private static LoadReport rateLimited(double requestsPerS, double level) {
        return new LoadReport(1, 10, 0, level, level, requestsPerS);
    }

    private int admitted(Criticality criticality, int calls) {
        return admitted(criticality, calls, INSTANCES);
    }

    private int admitted(Criticality criticality, int calls, List<Instance> instances) {
        int admitted = 0;
        for (int i = 0; i < calls; i++) {
            admitted += gate.check(criticality, instances).isEmpty() ? 1 : 0;
        }
        return admitted;
    }
}
