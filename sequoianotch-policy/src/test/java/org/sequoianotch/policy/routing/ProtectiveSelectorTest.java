package org.sequoianotch.policy.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.Region;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.policy.TestInstances;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/** Guards against instances that attract calls which they cannot serve, and against needless cross-region traffic. */
final class ProtectiveSelectorTest {
    private static final LoadReport IDLE = new LoadReport(0, 10, 0, 3.0);
    private static final LoadReport BUSY = new LoadReport(9, 10, 0, 3.0);
    private static final LoadReport FULL = new LoadReport(10, 10, 20, 1.0);

    private long bodyBytes = 1_024;
    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final List<Instance> instances = new ArrayList<>();
    private final Map<HostId, Double> latencies = new HashMap<>();
    private final Map<HostId, LoadReport> loads = new HashMap<>();
    private final Set<HostId> failing = new HashSet<>();
    private final Map<HostId, Integer> calls = new HashMap<>();

    @Property(seed = "20261204", tries = 20)
    void instanceThatFailsFastReceivesFewCalls(@ForAll long seed) {
        for (PolicyMode mode : PolicyMode.values()) {
            reset(6);
            failing.add(host(0));
            run(selector(mode, seed, 0), Criticality.STANDARD, 6_000);
            int callsToFailing = calls.getOrDefault(host(0), 0);
            if (mode == PolicyMode.NAIVE) {
                assertThat(callsToFailing).isAtLeast(800);
            } else {
                // In 60 s: 5 faults until the ejection, a few early probes, then at most one probe per 1.6 s.
                assertThat(callsToFailing).isAtMost(5 + 4 + 60_000 / 1_600);
            }
        }
    }

    @Test
    void callsContinueWhileAllInstancesFailAndAllAreUsedAgainWithinTwoSeconds() {
        reset(3);
        instances.forEach(instance -> failing.add(instance.host()));
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, 1, 0);
        run(selector, Criticality.CRITICAL, 500);
        assertThat(calls).hasSize(3);
        failing.clear();
        run(selector, Criticality.CRITICAL, 200);
        calls.clear();
        run(selector, Criticality.CRITICAL, 300);
        assertThat(calls).hasSize(3);
    }

    @Test
    void newInstanceReceivesAGrowingShareDuringSlowStart() {
        reset(4);
        Instance newInstance = instance(4, "brest", "west", clock.nowMs());
        instances.add(newInstance);
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, 1, 10_000);
        run(selector, Criticality.STANDARD, 200);
        int callsAtStart = calls.getOrDefault(newInstance.host(), 0);
        clock.advance(10_000);
        calls.clear();
        run(selector, Criticality.STANDARD, 200);
        assertThat(callsAtStart).isLessThan(20);
        assertThat(calls.get(newInstance.host())).isGreaterThan(20);
    }

    @Test
    void slowInstanceReceivesFewerCalls() {
        reset(4);
        latencies.put(host(0), 200.0);
        run(selector(PolicyMode.PROTECTIVE, 1, 0), Criticality.STANDARD, 1_000);
        assertThat(calls.getOrDefault(host(0), 0)).isLessThan(100);
    }

    /** With few calls in flight it seemed to be the least loaded one, and got nearly all calls. */
    @Test
    void instanceThatNamesARateGetsTheShareOfCallsThatItAdmits() {
        reset(4);
        loads.put(host(0), new LoadReport(0, 10, 0, 1.1, 1.1, 2));
        for (int i = 1; i < 4; i++) {
            loads.put(host(i), BUSY);
        }
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, 1, 0);
        run(selector, Criticality.STANDARD, 100);
        calls.clear();
        run(selector, Criticality.STANDARD, 1_000);
        assertThat(calls.getOrDefault(host(0), 0)).isAtMost(150);
        assertThat(calls.getOrDefault(host(0), 0)).isAtLeast(10);
    }

    @Test
    void callsThatTheDataCentreDoesNotAdmitSpillToTheRegion() {
        reset(2);
        instances.add(instance(2, "quimper", "west", 0));
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, 1, 0);
        run(selector, Criticality.STANDARD, 100);
        assertThat(calls).doesNotContainKey(host(2));
        loads.put(host(0), FULL);
        loads.put(host(1), FULL);
        calls.clear();
        run(selector, Criticality.STANDARD, 100);
        assertThat(calls.get(host(2))).isGreaterThan(80);
    }

    /** Guards against a full queue in one data centre while another data centre of the region has free slots. */
    @Test
    void regionIsUsedBeforeTheDataCentreRefuses() {
        reset(2);
        instances.add(instance(2, "quimper", "west", 0));
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, 1, 0);
        run(selector, Criticality.STANDARD, 100);
        loads.put(host(0), BUSY);
        loads.put(host(1), BUSY);
        calls.clear();
        run(selector, Criticality.STANDARD, 300);
        assertThat(calls.get(host(2))).isGreaterThan(100);
        assertThat(calls.get(host(0)) + calls.get(host(1))).isGreaterThan(0);
    }

    @Test
    void otherRegionIsUsedOnlyIfTheSavedTimeExceedsThePriceOrNoOtherInstanceIsLeft() {
        reset(1);
        Instance far = instance(1, "lyon", "south", 0);
        instances.add(far);
        latencies.put(far.host(), 60.0);
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, 1, 0);
        run(selector, Criticality.STANDARD, 100);
        assertThat(calls).doesNotContainKey(far.host());
        latencies.put(host(0), 500.0);
        run(selector, Criticality.STANDARD, 100);
        assertThat(calls.get(far.host())).isGreaterThan(50);
        calls.clear();
        bodyBytes = 1_024 * 1_024;
        run(selector, Criticality.STANDARD, 100);
        assertThat(calls).doesNotContainKey(far.host());
        Instance draining = instances.getFirst().withState(BackendState.DRAINING);
        RoutingRequest large = new RoutingRequest(Criticality.STANDARD, bodyBytes, Set.of());
        assertThat(selector.select(large, List.of(draining, far))).hasValue(far);
    }

    /**
     * Guards against cross-region traffic without a fault. An instance that makes sub-calls takes two or three times as
     * long now and then even without a fault, and another region would not respond to its callers sooner.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void otherRegionIsNotUsedBecauseOfVaryingLatency(long seed) {
        reset(1);
        Instance far = instance(1, "lyon", "south", 0);
        instances.add(far);
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, seed, 0);
        Random random = new Random(seed);
        for (int i = 0; i < 2_000; i++) {
            double homeLatencyMs = random.nextInt(10) == 0 ? 450 : 100 + random.nextInt(150);
            latencies.put(host(0), homeLatencyMs);
            latencies.put(far.host(), homeLatencyMs + 40);
            run(selector, Criticality.STANDARD, 1);
            clock.advance(100);
        }
        assertThat(calls.getOrDefault(far.host(), 0)).isAtMost(20);
    }

    /** Guards against calls that stay in a region although its only instance has become slow. */
    @Test
    void otherRegionIsUsedWhileTheHomeInstanceIsSlow() {
        reset(1);
        Instance far = instance(1, "lyon", "south", 0);
        instances.add(far);
        latencies.put(host(0), 100.0);
        latencies.put(far.host(), 140.0);
        InstanceSelector selector = selector(PolicyMode.PROTECTIVE, 1, 0);
        run(selector, Criticality.STANDARD, 200);
        latencies.put(host(0), 600.0);
        run(selector, Criticality.STANDARD, 100);
        assertThat(calls.getOrDefault(far.host(), 0)).isGreaterThan(50);
    }

    @Test
    void excludedHostsAreNotSelected() {
        reset(1);
        RoutingRequest retry = new RoutingRequest(Criticality.STANDARD, 0, Set.of(host(0)));
        assertThat(selector(PolicyMode.PROTECTIVE, 1, 0).select(retry, instances))
                .isEmpty();
    }

    private void reset(int count) {
        instances.clear();
        calls.clear();
        failing.clear();
        for (int i = 0; i < count; i++) {
            instances.add(instance(i, "brest", "west", 0));
        }
    }

    /** Runs calls sequentially, one per 10 ms. */
    private void run(InstanceSelector selector, Criticality criticality, int count) {
        for (int i = 0; i < count; i++) {
            Instance instance = selector.select(new RoutingRequest(criticality, bodyBytes, Set.of()), instances)
                    .orElseThrow();
            calls.merge(instance.host(), 1, Integer::sum);
            Attempt attempt = selector.start(instance);
            clock.advance(10);
            boolean failed = failing.contains(instance.host());
            attempt.finish(
                    failed ? AttemptResult.SERVER_ERROR : AttemptResult.SUCCEEDED,
                    failed ? 0.5 : latencies.getOrDefault(instance.host(), 20.0),
                    loads.getOrDefault(instance.host(), IDLE));
        }
    }

    private InstanceSelector selector(PolicyMode mode, long seed, long slowStartMs) {
        ServiceRule rule = new ServiceRule(ServiceName.of("vitrine"), 10, 10, 100, 10, slowStartMs);
        return mode.newSelector(rule, DataCentre.of("brest"), Region.of("west"), 5, clock, new Random(seed));
    }

    private static HostId host(int number) {
        return HostId.of("host-" + number);
    }

    private static Instance instance(int number, String dataCentre, String region, long startedAtMs) {
        return TestInstances.of("host-" + number, dataCentre, region, 10, startedAtMs);
    }
}
