package org.sequoianotch.daemon.departure;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.control.DepartureClient;
import org.sequoianotch.control.state.Departure;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.BroadcastSignal;
import org.sequoianotch.task.TaskThreads;

/**
 * Keeps the departures of the instances on this host, because a node process keeps nothing of its own over a restart.
 *
 * <p>A departure is acknowledged to the instance only once the control group has stored it, so that it outlives the
 * loss of every process and of as many disks as the group bears. A process that starts believes no heartbeat before it
 * has read the departures of its host from the group. If the group has no majority or is out of reach, heartbeats are
 * believed after {@link #MAX_DOUBT_MS}, so that a data centre that is cut off serves what it can; the process goes on
 * asking, and applies what it learns then.
 *
 * <p>Neighbours keep a copy in memory. It is only a hint for a process that cannot reach the group.
 *
 * <p>This class is thread-safe.
 */
public final class DepartureLog {
    private static final Logger LOG = LogManager.getLogger(DepartureLog.class);

    /** Instances wait for an acknowledgement for a second. */
    private static final long RECORD_TIMEOUT_MS = 800;

    private static final long READ_TIMEOUT_MS = 800;
    private static final long READ_RETRY_MS = 200;
    /** Limits the log lines while the group is out of reach, which may last for an hour. */
    private static final int READS_PER_LOG_LINE = 50;

    private static final long NEIGHBOUR_TIMEOUT_MS = 1_500;

    /** An election after a loss of all control hosts takes up to 2.5 s. */
    private static final long MAX_DOUBT_MS = 3_000;

    /** An instance leaves once, and heartbeats are late by seconds. */
    private static final int MAX_RECORDED = 64;

    private final DepartureClient group;
    private final PeerRequester requester;
    private final Supplier<List<String>> neighbours;
    private final Set<String> askedNeighbours = ConcurrentHashMap.newKeySet();
    private final Map<String, Departure> recorded = new LinkedHashMap<>();
    private final BroadcastSignal changed = new BroadcastSignal();
    private volatile boolean recovered;

    /**
     * Creates a log.
     *
     * @param group stores the departures; not null
     * @param requester sends requests to the neighbours; not null
     * @param neighbours returns the peer addresses of the hosts that keep copies, without this host; not null
     */
    public DepartureLog(DepartureClient group, PeerRequester requester, Supplier<List<String>> neighbours) {
        this.group = Objects.requireNonNull(group, "group");
        this.requester = Objects.requireNonNull(requester, "requester");
        this.neighbours = Objects.requireNonNull(neighbours, "neighbours");
    }

    /** Skips the recovery; for the first start of a deployment, in which no instance can have left. */
    public void skipRecovery() {
        recovered = true;
    }

    /**
     * Starts to read the departures of the instances on this host.
     *
     * @param onDeparture receives each departure that is known elsewhere; not null
     * @param onRecovered runs once heartbeats may be believed; not null
     */
    public void recover(Consumer<Departure> onDeparture, Runnable onRecovered) {
        TaskThreads.start(
                "departure-recovery", () -> runUntilInterrupted(() -> readFromGroup(onDeparture, onRecovered)));
        TaskThreads.start("departure-doubt", () -> runUntilInterrupted(() -> endDoubt(onRecovered)));
    }

    private static void runUntilInterrupted(TaskThreads.Step step) {
        try {
            step.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readFromGroup(Consumer<Departure> onDeparture, Runnable onRecovered) throws InterruptedException {
        for (int failures = 0; ; failures++) {
            askNewNeighbours(onDeparture);
            Either<Failure, List<Departure>> read = group.read(READ_TIMEOUT_MS);
            if (read.isRight()) {
                LOG.info("[member] The control group has {} departures of this host's instances.", read.get());
                read.get().forEach(onDeparture);
                setRecovered(onRecovered);
                return;
            }
            if (failures % READS_PER_LOG_LINE == 0) {
                LOG.info(
                        "[member] The departures of this host's instances could not be read; retrying: {}",
                        read.getLeft().detail());
            }
            TaskThreads.sleep(READ_RETRY_MS);
        }
    }

    private void endDoubt(Runnable onRecovered) throws InterruptedException {
        if (!changed.await(() -> recovered, MAX_DOUBT_MS)) {
            LOG.warn(
                    "[member] The departures of this host's instances could not be read within {} ms; heartbeats are"
                            + " believed until the control group can be reached.",
                    MAX_DOUBT_MS);
            setRecovered(onRecovered);
        }
    }

    private void setRecovered(Runnable onRecovered) {
        synchronized (changed) {
            if (recovered) {
                return;
            }
            recovered = true;
        }
        changed.raise();
        onRecovered.run();
    }

    private void askNewNeighbours(Consumer<Departure> onDeparture) {
        for (String address : neighbours.get()) {
            if (askedNeighbours.add(address)) {
                TaskThreads.start(
                        "departure-recovery-" + address,
                        () -> exchange(address, List.of(), NEIGHBOUR_TIMEOUT_MS).forEach(onDeparture));
            }
        }
    }

    /**
     * Waits until heartbeats may be believed.
     *
     * @param timeoutMs longest wait in milliseconds
     * @return false after the timeout
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean awaitRecovery(long timeoutMs) throws InterruptedException {
        return recovered || changed.await(() -> recovered, timeoutMs);
    }

    /**
     * Records a departure in the control group. A departure that is already recorded is not sent again.
     *
     * @param departure the departure; not null
     * @return true once the group has stored it
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean record(Departure departure) throws InterruptedException {
        if (isRecorded(departure)) {
            return true;
        }
        neighbours
                .get()
                .forEach(address -> TaskThreads.start(
                        "departure-copy-" + address, () -> exchange(address, List.of(departure), RECORD_TIMEOUT_MS)));
        Either<Failure, Departure> stored = group.record(departure, RECORD_TIMEOUT_MS);
        if (stored.isLeft()) {
            LOG.warn(
                    "[member] {} is not recorded by the control group: {}",
                    departure,
                    stored.getLeft().detail());
            return false;
        }
        LOG.info("[member] {} is recorded by the control group.", departure);
        addRecorded(departure);
        return true;
    }

    /** Returns whether a departure adds nothing; a draining instance repeats its state with each heartbeat. */
    private boolean isRecorded(Departure departure) {
        synchronized (recorded) {
            Departure known = recorded.get(departure.instanceId());
            return known != null
                    && known.startedAtMs() == departure.startedAtMs()
                    && (known.includes(departure) || departure.lastSequence() != Departure.ALL_HEARTBEATS);
        }
    }

    private void addRecorded(Departure departure) {
        synchronized (recorded) {
            recorded.remove(departure.instanceId());
            recorded.put(departure.instanceId(), departure);
            if (recorded.size() > MAX_RECORDED) {
                recorded.remove(recorded.keySet().iterator().next());
            }
        }
    }

    /** Sends departures to a neighbour; returns those that it knows, or none if the request fails. */
    private List<Departure> exchange(String address, List<Departure> added, long timeoutMs) {
        try {
            return requester
                    .request(address, Topic.DEPARTURES, Departure.encodeAll(added), timeoutMs)
                    .map(Departure::decodeAll)
                    .getOrElse(List.of());
        } catch (IllegalArgumentException e) {
            LOG.warn("[member] Host at {} sent a malformed reply about departures: {}", address, e.getMessage());
            return List.of();
        }
    }
}
