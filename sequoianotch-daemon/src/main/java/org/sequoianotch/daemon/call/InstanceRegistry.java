package org.sequoianotch.daemon.call;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.time.Clock;

/**
 * Takes the heartbeats of the instances on this host in the order in which they were sent.
 *
 * <p>This class is thread-safe.
 */
public final class InstanceRegistry {
    private static final Logger LOG = LogManager.getLogger(InstanceRegistry.class);

    private final LocalInstances instances;
    private final Clock clock;
    private final double takeoverMs;
    private final Map<ServiceName, Lifetime> current = new HashMap<>();

    /** The lifetime that is believed to run, with its newest heartbeat. */
    private record Lifetime(String instanceId, long bornAtMs, long sequence, double heardAtMs, boolean withdrawn) {}

    /**
     * Creates a registry.
     *
     * @param instances the instances on this host; not null
     * @param clock the clock; not null
     * @param takeoverMs silence after which another lifetime is believed although it seems to be older, in
     *     milliseconds, because the time of day may have been set back; positive
     */
    public InstanceRegistry(LocalInstances instances, Clock clock, long takeoverMs) {
        this.instances = instances;
        this.clock = clock;
        this.takeoverMs = takeoverMs;
    }

    /**
     * Takes in a heartbeat.
     *
     * @param report the heartbeat; not null
     * @return true if it was the newest of the newest lifetime; a late one changes nothing
     * @throws IllegalArgumentException if a value of the heartbeat is out of range
     */
    public synchronized boolean report(InstanceReport report) {
        Announcement announcement =
                new Announcement(report.service(), report.port(), report.slots(), report.state(), report.instanceId());
        Lifetime known = current.get(report.service());
        if (known != null && !isNews(known, report)) {
            LOG.info(
                    "[member] Heartbeat {} of {} born at {} was late and not used; known is {} of {} born at {}.",
                    report.sequence(),
                    report.instanceId(),
                    report.bornAtMs(),
                    known.sequence(),
                    known.instanceId(),
                    known.bornAtMs());
            return false;
        }
        current.put(
                report.service(),
                new Lifetime(report.instanceId(), report.bornAtMs(), report.sequence(), clock.monotonicMs(), false));
        if (known != null && known.bornAtMs() != report.bornAtMs()) {
            // A later lifetime knows nothing of the connections and calls of the one before.
            instances.remove(report.service());
        }
        instances.announce(announcement);
        return true;
    }

    private boolean isNews(Lifetime known, InstanceReport report) {
        boolean sameLifetime = known.instanceId().equals(report.instanceId()) && known.bornAtMs() == report.bornAtMs();
        if (sameLifetime) {
            return !known.withdrawn() && report.sequence() > known.sequence();
        }
        return report.bornAtMs() >= known.bornAtMs() || clock.monotonicMs() - known.heardAtMs() > takeoverMs;
    }

    /**
     * Takes in that an instance says that it ends.
     *
     * @param instanceId the instance; not null
     * @param bornAtMs start of its lifetime; zero if it is not told
     */
    public synchronized void withdraw(String instanceId, long bornAtMs) {
        ServiceName service = serviceOf(instanceId, bornAtMs);
        if (service == null) {
            LOG.info("[member] Instance {} withdrew, which is not known here.", instanceId);
            return;
        }
        Lifetime known = Objects.requireNonNull(current.get(service));
        current.put(service, new Lifetime(instanceId, known.bornAtMs(), known.sequence(), clock.monotonicMs(), true));
        instances.withdraw(service, instanceId);
    }

    private @Nullable ServiceName serviceOf(String instanceId, long bornAtMs) {
        for (Map.Entry<ServiceName, Lifetime> entry : current.entrySet()) {
            Lifetime known = entry.getValue();
            if (known.instanceId().equals(instanceId) && (bornAtMs == 0 || bornAtMs >= known.bornAtMs())) {
                return entry.getKey();
            }
        }
        return null;
    }
}
