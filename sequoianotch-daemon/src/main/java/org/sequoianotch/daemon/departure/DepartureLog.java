package org.sequoianotch.daemon.departure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.BroadcastSignal;
import org.sequoianotch.task.TaskThreads;

/**
 * Keeps the departures of the instances on this host on other hosts, because a node process keeps nothing of its own
 * over a restart.
 *
 * <p>A departure is acknowledged to the instance only once {@link #MIN_COPIES} other hosts have it. A process that
 * starts asks the other hosts before it believes a heartbeat, and asks those that it discovers later, too.
 *
 * <p>This class is thread-safe.
 */
public final class DepartureLog {
    private static final Logger LOG = LogManager.getLogger(DepartureLog.class);

    /** One copy may be on a host that is lost together with this process. */
    private static final int MIN_COPIES = 2;

    /** Instances wait for an acknowledgement for a second. */
    private static final long RECORD_TIMEOUT_MS = 800;

    /** Longer than the connect timeout of a link; a host without power does not reply at all. */
    private static final long RECOVERY_TIMEOUT_MS = 1_500;

    /** Once {@link #MIN_COPIES} hosts have replied, the others are waited for no longer than this after the start. */
    private static final long RECOVERY_GRACE_MS = 500;

    /** An instance leaves once, and heartbeats are late by seconds. */
    private static final int MAX_RECORDED = 64;

    /** Membership shows the hosts that are no seeds within this time of a start. */
    private static final List<Long> RECOVERY_DELAYS_MS = List.of(0L, 1_000L, 2_000L, 4_000L);

    private final PeerRequester requester;
    private final Supplier<List<String>> witnesses;
    private final Set<String> askedWitnesses = ConcurrentHashMap.newKeySet();
    private final Map<String, Departure> recorded = new LinkedHashMap<>();
    private final BroadcastSignal recoveredSignal = new BroadcastSignal();
    private volatile boolean recovered;

    /**
     * Creates a log.
     *
     * @param requester sends requests to other hosts; not null
     * @param witnesses returns the peer addresses of the hosts that keep the departures, without this host; not null
     */
    public DepartureLog(PeerRequester requester, Supplier<List<String>> witnesses) {
        this.requester = requester;
        this.witnesses = witnesses;
    }

    /** Skips the recovery; for the first start of a deployment, in which no instance can have left. */
    public void skipRecovery() {
        recovered = true;
    }

    /**
     * Starts to ask the other hosts for the departures of the instances on this host.
     *
     * @param onDeparture receives each departure that a host knows; not null
     */
    public void recover(Consumer<Departure> onDeparture) {
        TaskThreads.start("departure-recovery", () -> {
            try {
                for (long delayMs : RECOVERY_DELAYS_MS) {
                    TaskThreads.sleep(delayMs);
                    askNewWitnesses(onDeparture);
                    recovered = true;
                    recoveredSignal.raise();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void askNewWitnesses(Consumer<Departure> onDeparture) throws InterruptedException {
        List<String> asked = witnesses.get().stream()
                .filter(address -> !askedWitnesses.contains(address))
                .toList();
        if (asked.isEmpty()) {
            return;
        }
        AtomicInteger replied = new AtomicInteger();
        AtomicInteger pending = new AtomicInteger(asked.size());
        BroadcastSignal changed = new BroadcastSignal();
        for (String address : asked) {
            TaskThreads.start("departure-recovery-" + address, () -> {
                try {
                    Optional<List<Departure>> reply = request(address, List.of(), RECOVERY_TIMEOUT_MS);
                    reply.orElse(List.of()).forEach(departure -> {
                        LOG.info("[member] Host at {} has a record of {}.", address, departure);
                        onDeparture.accept(departure);
                    });
                    reply.ifPresent(departures -> {
                        askedWitnesses.add(address);
                        replied.incrementAndGet();
                    });
                } finally {
                    pending.decrementAndGet();
                    changed.raise();
                }
            });
        }
        if (!changed.await(() -> pending.get() == 0, RECOVERY_GRACE_MS)) {
            changed.await(
                    () -> pending.get() == 0 || replied.get() >= MIN_COPIES, RECOVERY_TIMEOUT_MS - RECOVERY_GRACE_MS);
        }
        LOG.info("[member] {} of {} hosts replied about departures of this host's instances.", replied, asked.size());
    }

    /**
     * Waits until the other hosts that are known at the start were asked.
     *
     * @param timeoutMs longest wait in milliseconds
     * @return false after the timeout
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean awaitRecovery(long timeoutMs) throws InterruptedException {
        if (!recovered) {
            recoveredSignal.await(() -> recovered, timeoutMs);
        }
        return recovered;
    }

    /**
     * Records a departure on other hosts. A departure that is already recorded is not sent again.
     *
     * @param departure the departure; not null
     * @return true once enough hosts have it, or all if there are fewer
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean record(Departure departure) throws InterruptedException {
        if (isRecorded(departure)) {
            return true;
        }
        List<String> targets = witnesses.get();
        int required = Math.min(MIN_COPIES, targets.size());
        AtomicInteger copies = new AtomicInteger();
        AtomicInteger pending = new AtomicInteger(targets.size());
        BroadcastSignal changed = new BroadcastSignal();
        for (String address : targets) {
            TaskThreads.start("departure-record-" + address, () -> {
                try {
                    boolean stored = request(address, List.of(departure), RECORD_TIMEOUT_MS).orElse(List.of()).stream()
                            .anyMatch(reply -> reply.includes(departure));
                    copies.addAndGet(stored ? 1 : 0);
                } finally {
                    pending.decrementAndGet();
                    changed.raise();
                }
            });
        }
        changed.await(() -> copies.get() >= required || pending.get() == 0, RECORD_TIMEOUT_MS);
        boolean enough = copies.get() >= required;
        LOG.info(
                "[member] {} is recorded on {} of {} other hosts; {} are required.",
                departure,
                copies.get(),
                targets.size(),
                required);
        if (enough) {
            addRecorded(departure);
        }
        return enough;
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

    /** Sends a request to one host; returns empty if it fails. */
    private Optional<List<Departure>> request(String address, List<Departure> added, long timeoutMs) {
        try {
            return requester
                    .request(address, Topic.DEPARTURES, Departure.encode(added), timeoutMs)
                    .peekLeft(failure -> LOG.info(
                            "[member] Host at {} did not reply about departures: {}", address, failure.detail()))
                    .map(Departure::decode)
                    .toJavaOptional();
        } catch (IllegalArgumentException e) {
            LOG.warn("[member] Host at {} sent a malformed reply about departures: {}", address, e.getMessage());
            return Optional.empty();
        }
    }
}
