package org.sequoianotch.daemon.call;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.time.Clock;

/**
 * Accepts the heartbeats of the instances on this host in the order in which they were sent.
 *
 * <p>Heartbeats may arrive late or out of order. One that is older than the latest known is ignored, so that it cannot
 * restore an instance that has announced its end or was replaced by a later incarnation. This also holds for an
 * instance that announces its end before its first heartbeat, as after a restart of this process.
 *
 * <p>This class is thread-safe.
 */
public final class InstanceRegistry {
    private static final Logger LOG = LogManager.getLogger(InstanceRegistry.class);
    /** Heartbeats are late by seconds, in which far fewer instances of one host withdraw. */
    private static final int MAX_WITHDRAWALS = 64;

    private final LocalInstances instances;
    private final Clock clock;
    private final double takeoverMs;
    private final Map<ServiceName, Incarnation> current = new HashMap<>();
    /** The latest incarnations that withdrew, by instance id. */
    private final Map<String, Withdrawal> withdrawals = new LinkedHashMap<>();

    /** The current incarnation of an instance, with the sequence number and arrival time of its newest heartbeat. */
    private record Incarnation(
            String instanceId, long startedAtMs, long sequence, double lastHeartbeatAtMs, boolean withdrawn) {}

    /** The end that an incarnation announced, with the time at which the announcement arrived. */
    private record Withdrawal(long startedAtMs, double atMs) {}

    /**
     * Creates a registry.
     *
     * @param instances the instances on this host; not null
     * @param clock the clock; not null
     * @param takeoverMs time without a heartbeat after which an incarnation is replaced even by one with an earlier
     *     start time, in milliseconds, because the wall clock may have been set back; positive
     */
    public InstanceRegistry(LocalInstances instances, Clock clock, long takeoverMs) {
        this.instances = instances;
        this.clock = clock;
        this.takeoverMs = takeoverMs;
    }

    /**
     * Records a heartbeat.
     *
     * @param heartbeat the heartbeat; not null
     * @return true if it was the newest one of the newest incarnation; false if it was out of date and ignored
     * @throws IllegalArgumentException if a value of the heartbeat is out of range, or if the host has too many
     *     instances of other services
     */
    public synchronized boolean recordHeartbeat(InstanceHeartbeat heartbeat) {
        Announcement announcement = new Announcement(
                heartbeat.service(), heartbeat.port(), heartbeat.slots(), heartbeat.state(), heartbeat.instanceId());
        if (isWithdrawn(heartbeat)) {
            LOG.info(
                    "[member] Ignored heartbeat {} of instance {} started at {}, which has withdrawn.",
                    heartbeat.sequence(),
                    heartbeat.instanceId(),
                    heartbeat.startedAtMs());
            return false;
        }
        Incarnation known = current.get(heartbeat.service());
        if (known != null && !isNewer(known, heartbeat)) {
            LOG.info(
                    "[member] Ignored out-of-date heartbeat {} of instance {} started at {}; the newest known is"
                            + " heartbeat {} of instance {} started at {}.",
                    heartbeat.sequence(),
                    heartbeat.instanceId(),
                    heartbeat.startedAtMs(),
                    known.sequence(),
                    known.instanceId(),
                    known.startedAtMs());
            return false;
        }
        if (known != null && known.startedAtMs() != heartbeat.startedAtMs()) {
            // A later incarnation does not share the connections and calls of the previous one.
            instances.remove(heartbeat.service());
        }
        instances.announce(announcement);
        current.put(
                heartbeat.service(),
                new Incarnation(
                        heartbeat.instanceId(),
                        heartbeat.startedAtMs(),
                        heartbeat.sequence(),
                        clock.monotonicMs(),
                        false));
        return true;
    }

    private boolean isWithdrawn(InstanceHeartbeat heartbeat) {
        Withdrawal withdrawal = withdrawals.get(heartbeat.instanceId());
        return withdrawal != null
                && heartbeat.startedAtMs() <= withdrawal.startedAtMs()
                && clock.monotonicMs() - withdrawal.atMs() <= takeoverMs;
    }

    private boolean isNewer(Incarnation known, InstanceHeartbeat heartbeat) {
        boolean sameIncarnation =
                known.instanceId().equals(heartbeat.instanceId()) && known.startedAtMs() == heartbeat.startedAtMs();
        if (sameIncarnation) {
            return !known.withdrawn() && heartbeat.sequence() > known.sequence();
        }
        return heartbeat.startedAtMs() >= known.startedAtMs()
                || clock.monotonicMs() - known.lastHeartbeatAtMs() > takeoverMs;
    }

    /**
     * Records that an instance announces its end.
     *
     * @param instanceId the instance; not null
     * @param startedAtMs start of its incarnation, in milliseconds since the Unix epoch; zero if it is not known
     */
    public synchronized void withdraw(String instanceId, long startedAtMs) {
        ServiceName service = findService(instanceId, startedAtMs);
        if (startedAtMs > 0) {
            recordWithdrawn(instanceId, startedAtMs);
        }
        if (service == null) {
            LOG.info("[member] Instance {} withdrew, but is not known on this host.", instanceId);
            return;
        }
        Incarnation known = Objects.requireNonNull(current.get(service));
        current.put(
                service, new Incarnation(instanceId, known.startedAtMs(), known.sequence(), clock.monotonicMs(), true));
        instances.withdraw(service, instanceId);
    }

    private void recordWithdrawn(String instanceId, long startedAtMs) {
        withdrawals.remove(instanceId);
        withdrawals.put(instanceId, new Withdrawal(startedAtMs, clock.monotonicMs()));
        if (withdrawals.size() > MAX_WITHDRAWALS) {
            withdrawals.remove(withdrawals.keySet().iterator().next());
        }
    }

    private @Nullable ServiceName findService(String instanceId, long startedAtMs) {
        for (Map.Entry<ServiceName, Incarnation> entry : current.entrySet()) {
            Incarnation known = entry.getValue();
            if (known.instanceId().equals(instanceId) && (startedAtMs == 0 || startedAtMs >= known.startedAtMs())) {
                return entry.getKey();
            }
        }
        return null;
    }
}
