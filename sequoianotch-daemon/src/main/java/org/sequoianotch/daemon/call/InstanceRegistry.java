package org.sequoianotch.daemon.call;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.state.Departure;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.time.Clock;

/**
 * Accepts the heartbeats of the instances on this host in the order in which they were sent.
 *
 * <p>Heartbeats may arrive late or out of order. One that is older than the latest known is ignored, so that it cannot
 * restore an instance that has announced its end or was replaced by a later incarnation. This also holds for an
 * instance that announces its end before its first heartbeat, as after a restart of this process, and for departures
 * that the control group or a neighbour has recorded before a restart.
 *
 * <p>This class is thread-safe.
 */
public final class InstanceRegistry {
    private static final Logger LOG = LogManager.getLogger(InstanceRegistry.class);
    /** Heartbeats are late by seconds, in which far fewer instances of one host leave. */
    private static final int MAX_DEPARTURES = 64;

    private final LocalInstances instances;
    private final Clock clock;
    private final double takeoverMs;
    private final Map<ServiceName, Incarnation> current = new HashMap<>();
    /** The latest departures, by instance id. */
    private final Map<String, KnownDeparture> departures = new LinkedHashMap<>();

    /** The current incarnation of an instance, with the sequence number and arrival time of its newest heartbeat. */
    private record Incarnation(
            String instanceId, long startedAtMs, long sequence, double lastHeartbeatAtMs, boolean withdrawn) {}

    /** A departure with the time at which it became known here. */
    private record KnownDeparture(Departure departure, double atMs) {}

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
                heartbeat.service(),
                heartbeat.port(),
                heartbeat.slots(),
                heartbeat.state(),
                heartbeat.instanceId(),
                heartbeat.incarnation());
        if (hasDeparted(heartbeat)) {
            LOG.info(
                    "[member] Ignored heartbeat {} of instance {} started at {}, which has left or is leaving.",
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

    private boolean hasDeparted(InstanceHeartbeat heartbeat) {
        KnownDeparture known = departures.get(heartbeat.instanceId());
        if (known == null) {
            return false;
        }
        if (heartbeat.startedAtMs() == known.departure().startedAtMs()) {
            return heartbeat.sequence() <= known.departure().lastSequence();
        }
        return heartbeat.startedAtMs() < known.departure().startedAtMs()
                && clock.monotonicMs() - known.atMs() <= takeoverMs;
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
     * @return the departure to record on other hosts, or empty if the incarnation is not known
     */
    public synchronized Optional<Departure> withdraw(String instanceId, long startedAtMs) {
        ServiceName service = findService(instanceId, startedAtMs);
        long incarnationMs = startedAtMs == 0 && service != null
                ? Objects.requireNonNull(current.get(service)).startedAtMs()
                : startedAtMs;
        if (service == null) {
            LOG.info("[member] Instance {} withdrew, but is not known on this host.", instanceId);
        } else {
            withdraw(service, instanceId);
        }
        if (incarnationMs == 0) {
            return Optional.empty();
        }
        Departure departure = new Departure(instanceId, incarnationMs, Departure.ALL_HEARTBEATS);
        addDeparture(departure);
        return Optional.of(departure);
    }

    /**
     * Applies a departure that another host has recorded before this process was started.
     *
     * @param departure the departure; not null
     */
    public synchronized void restore(Departure departure) {
        KnownDeparture known = departures.get(departure.instanceId());
        if (known != null
                && (known.departure().includes(departure)
                        || known.departure().startedAtMs() > departure.startedAtMs())) {
            return;
        }
        addDeparture(departure);
        current.entrySet().stream()
                .filter(entry -> isOutdated(entry.getValue(), departure))
                .map(Map.Entry::getKey)
                .findFirst()
                .ifPresent(service -> {
                    if (departure.lastSequence() == Departure.ALL_HEARTBEATS) {
                        withdraw(service, departure.instanceId());
                    } else {
                        // The instance drains, and goes on to send heartbeats.
                        instances.withdraw(service, departure.instanceId());
                    }
                });
    }

    private static boolean isOutdated(Incarnation incarnation, Departure departure) {
        return incarnation.instanceId().equals(departure.instanceId())
                && incarnation.startedAtMs() == departure.startedAtMs()
                && incarnation.sequence() <= departure.lastSequence();
    }

    private void withdraw(ServiceName service, String instanceId) {
        Incarnation known = Objects.requireNonNull(current.get(service));
        current.put(
                service, new Incarnation(instanceId, known.startedAtMs(), known.sequence(), clock.monotonicMs(), true));
        instances.withdraw(service, instanceId);
    }

    private void addDeparture(Departure departure) {
        departures.remove(departure.instanceId());
        departures.put(departure.instanceId(), new KnownDeparture(departure, clock.monotonicMs()));
        if (departures.size() > MAX_DEPARTURES) {
            departures.remove(departures.keySet().iterator().next());
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
