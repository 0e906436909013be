package org.sequoianotch.daemon.call;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.Region;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.ManualClock;

/**
 * Guards against calls to an instance that is draining or was replaced by a later process.
 *
 * <p>Heartbeats may be delayed in the network, so one that reports an outdated state can arrive after a newer one.
 */
final class InstanceRegistryTest {
    private static final ServiceName FEES = ServiceName.of("fees");
    private static final long DRAIN_NOTICE_MS = 1_000;
    private static final long TAKEOVER_MS = 4_500;

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final ManualClock clock = ManualClock.startingAt(0);
    private final List<BackendState> announced = new ArrayList<>();
    private final LocalInstances instances = new LocalInstances(
            new NodeLocation(HostId.of("host-1"), DataCentre.of("dc-1"), Region.of("r-1"), "127.0.0.1:1"),
            InetAddress.getLoopbackAddress(),
            12_000,
            PolicyMode.KNOWN_SLOTS,
            clock,
            eventLoops,
            ServiceRule::ofDefaults,
            new BackendOptions(DRAIN_NOTICE_MS, true));
    private final InstanceRegistry registry = new InstanceRegistry(instances, clock, TAKEOVER_MS);

    InstanceRegistryTest() {
        instances.setOnChange(all -> all.stream().map(Instance::state).forEach(announced::add));
    }

    @AfterEach
    void close() {
        eventLoops.shutdownGracefully();
    }

    private boolean heartbeat(String id, long startedAtMs, long sequence, BackendState state) {
        return registry.recordHeartbeat(new InstanceHeartbeat(id, startedAtMs, sequence, FEES, 9_000, 20, state));
    }

    private boolean accepts() {
        LocalInstance instance = instances.find(FEES);
        return instance != null && instance.accepts(clock.monotonicMs());
    }

    /** A delayed heartbeat must not restore an instance that has announced that it drains. */
    @Test
    void lateHeartbeatDoesNotUndoTheDrain() {
        heartbeat("i-1", 100, 1, BackendState.SERVING);
        heartbeat("i-1", 100, 3, BackendState.DRAINING);

        assertThat(heartbeat("i-1", 100, 2, BackendState.SERVING)).isFalse();

        clock.advance(DRAIN_NOTICE_MS + 1);
        assertThat(accepts()).isFalse();
        assertThat(announced)
                .containsExactly(BackendState.SERVING, BackendState.DRAINING)
                .inOrder();
    }

    /** Other nodes learn of a drain within the notice period; refusing at once would only add a hop to their calls. */
    @Test
    void callsAreAcceptedUntilOtherNodesKnowOfTheDrain() {
        heartbeat("i-1", 100, 1, BackendState.SERVING);
        heartbeat("i-1", 100, 2, BackendState.DRAINING);

        assertThat(accepts()).isTrue();
        clock.advance(DRAIN_NOTICE_MS / 2.0);
        heartbeat("i-1", 100, 3, BackendState.DRAINING);
        clock.advance(DRAIN_NOTICE_MS / 2.0 + 1);

        assertThat(accepts()).isFalse();
    }

    @Test
    void lateHeartbeatDoesNotRestoreWithdrawnInstance() {
        heartbeat("i-1", 100, 1, BackendState.SERVING);
        registry.withdraw("i-1", 100);

        assertThat(heartbeat("i-1", 100, 2, BackendState.SERVING)).isFalse();
        clock.advance(DRAIN_NOTICE_MS + 1);
        assertThat(accepts()).isFalse();
    }

    /**
     * A restarted node knows none of its instances. One that leaves before its first heartbeat there must not come back
     * into use through an earlier heartbeat that arrives late. A later incarnation may use its id again, and so may one
     * whose wall clock was set back, after the time in which heartbeats can be late.
     */
    @Test
    void lateHeartbeatDoesNotRestoreInstanceThatWithdrewUnknown() {
        registry.withdraw("i-1", 100);
        registry.withdraw("i-2", 900);

        assertThat(heartbeat("i-1", 100, 7, BackendState.SERVING)).isFalse();
        assertThat(accepts()).isFalse();
        assertThat(heartbeat("i-1", 200, 1, BackendState.SERVING)).isTrue();
        assertThat(accepts()).isTrue();
        assertThat(heartbeat("i-2", 800, 1, BackendState.SERVING)).isFalse();
        clock.advance(TAKEOVER_MS + 1);
        assertThat(heartbeat("i-2", 800, 2, BackendState.SERVING)).isTrue();
    }

    /** An instance may restart under the same id; its sequence numbers then start again. */
    @ParameterizedTest
    @CsvSource({"i-1", "i-2"})
    void laterIncarnationTakesOver(String nextId) {
        heartbeat("i-1", 100, 50, BackendState.DRAINING);

        assertThat(heartbeat(nextId, 200, 1, BackendState.SERVING)).isTrue();
        assertThat(accepts()).isTrue();
        assertThat(heartbeat("i-1", 100, 51, BackendState.DRAINING)).isFalse();
        assertThat(accepts()).isTrue();
    }

    /** The wall clock of a host may be set back, so that a new process seems to be older than the previous one. */
    @Test
    void seeminglyOlderIncarnationTakesOverAfterSilence() {
        heartbeat("i-1", 900, 5, BackendState.SERVING);
        assertThat(heartbeat("i-2", 100, 1, BackendState.SERVING)).isFalse();

        clock.advance(TAKEOVER_MS + 1);

        assertThat(heartbeat("i-2", 100, 2, BackendState.SERVING)).isTrue();
    }

    /**
     * A node announces at most eight instances to the other nodes. With one more, each later announcement failed, so
     * that other nodes no longer learned of drains and ended leases.
     */
    @Test
    void heartbeatsOfTooManyServicesDoNotAffectTheOthers() {
        heartbeat("i-1", 100, 1, BackendState.SERVING);
        for (int i = 0; i < 10; i++) {
            InstanceHeartbeat other = new InstanceHeartbeat(
                    "other-" + i, 100, 1, ServiceName.of("other" + i), 9_000 + i, 20, BackendState.SERVING);
            if (i < LocalInstances.MAX_INSTANCES - 1) {
                assertThat(registry.recordHeartbeat(other)).isTrue();
            } else {
                assertThrows(IllegalArgumentException.class, () -> registry.recordHeartbeat(other));
            }
        }

        assertThat(instances.announced()).hasSize(LocalInstances.MAX_INSTANCES);
        assertThat(heartbeat("i-1", 100, 2, BackendState.DRAINING)).isTrue();
        assertThat(announced.getFirst()).isEqualTo(BackendState.SERVING);
        assertThat(announced).contains(BackendState.DRAINING);
    }
}
