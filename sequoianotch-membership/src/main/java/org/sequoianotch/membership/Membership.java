package org.sequoianotch.membership;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Instance;
import org.sequoianotch.protocol.link.PeerRequestHandler;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.Signal;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * Membership of one node: announces the node and its instances, detects failures of the other nodes of the data centre,
 * and learns the nodes of all data centres.
 *
 * <p>Use: construct, pass {@link #requestHandler} to the peer listener, {@link #start}, {@link #announce} whenever the
 * backend server's announcement changes, read {@link #view}; before the process stops, {@link #leave} and
 * {@link #close}.
 *
 * <p>This class is thread-safe.
 */
public final class Membership implements AutoCloseable {
    /** Most instances that a node can {@link #announce}. */
    public static final int MAX_INSTANCES = MemberCodec.MAX_INSTANCES;

    private static final Logger LOG = LogManager.getLogger(Membership.class);
    private static final long MIN_TICK_MS = 10;
    private static final long LEAVE_POLL_MS = 100;
    private static final long MAINTENANCE_INTERVAL_MS = 60_000;
    /** Most gossip rounds for which {@link #leave} waits. */
    private static final int MAX_LEAVE_ROUNDS = 10;

    private final MembershipOptions options;
    private final Clock clock;
    private final DatagramTransport transport;
    private final Executor executor;
    private final DatagramCodec codec;
    private final MembershipCounters counters = new MembershipCounters();
    private final MemberTable table;
    private final DatagramSender sender;
    private final FailureDetector detector;
    private final StateExchanger exchanger;
    private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
    private final AtomicInteger pendingDeliveries = new AtomicInteger();
    private final Signal tickBroughtForward = new Signal();
    private volatile double scheduledTickAtMs;
    private double nextMaintenanceAtMs;
    private volatile MembershipView view;
    private volatile @Nullable Thread tickThread;
    private volatile boolean closed;

    /**
     * Creates a membership that is not started.
     *
     * @param options the settings; not null
     * @param clock the clock; not null
     * @param random source of random choices; not null, used only under the membership's own lock
     * @param transport sends and receives datagrams; not null, closed by {@link #close}
     * @param requester sends requests to other nodes over links; not null
     */
    public Membership(
            MembershipOptions options,
            Clock clock,
            RandomGenerator random,
            DatagramTransport transport,
            PeerRequester requester) {
        this(options, clock, random, transport, requester, Membership::runOnVirtualThread);
    }

    /** Creates a membership whose blocking tasks run on the given executor, for tests under simulated time. */
    Membership(
            MembershipOptions options,
            Clock clock,
            RandomGenerator random,
            DatagramTransport transport,
            PeerRequester requester,
            Executor executor) {
        this.options = options;
        this.clock = clock;
        this.transport = transport;
        this.executor = executor;
        codec = new DatagramCodec(options.deploymentKey());
        double nowMs = clock.monotonicMs();
        table = new MemberTable(options, clock, random, counters);
        sender = new DatagramSender(table, options, clock, transport, codec, counters);
        detector = new FailureDetector(table, options, random, sender, counters, nowMs);
        exchanger = new StateExchanger(table, options, clock, random, requester, counters, this::deliverChanges);
        nextMaintenanceAtMs = nowMs + MAINTENANCE_INTERVAL_MS;
        view = table.view();
    }

    private static void runOnVirtualThread(Runnable work) {
        TaskThreads.start("member-exchange", work);
    }

    /**
     * Starts to receive datagrams, to join through the seeds and to probe.
     *
     * @return the local UDP address, or the failure that prevented the start
     */
    public Either<Failure, String> start() {
        Either<Failure, String> started = startReceiving();
        started.peek(address -> {
            tickThread = TaskThreads.startLoop("member-" + options.host(), () -> !closed, MIN_TICK_MS, () -> {
                tick();
                awaitNextTick();
            });
        });
        return started;
    }

    /** Starts without the tick thread; the caller runs {@link #tick}. */
    Either<Failure, String> startReceiving() {
        return transport.start(this::receive);
    }

    /** Waits until something is due, for at least {@link #MIN_TICK_MS}, so that one tick handles several events. */
    private void awaitNextTick() throws InterruptedException {
        clock.sleep(MIN_TICK_MS);
        double leftMs;
        do {
            double dueMs;
            synchronized (table) {
                dueMs = nextTickAtMs();
                scheduledTickAtMs = dueMs;
            }
            leftMs = dueMs - clock.monotonicMs();
            tickBroughtForward.await(() -> scheduledTickAtMs < dueMs, (long) Math.ceil(leftMs));
        } while (leftMs > 0 && clock.monotonicMs() < scheduledTickAtMs);
    }

    /** Must be called with the lock of the table held. */
    private double nextTickAtMs() {
        return Math.min(
                Math.min(detector.nextTickAtMs(), sender.nextTickAtMs()),
                Math.min(exchanger.nextTickAtMs(), nextMaintenanceAtMs));
    }

    /** Wakes the tick thread if something has fallen due before its next tick. */
    private void bringTickForward() {
        boolean earlier;
        synchronized (table) {
            double dueMs = nextTickAtMs();
            earlier = dueMs < scheduledTickAtMs;
            scheduledTickAtMs = Math.min(dueMs, scheduledTickAtMs);
        }
        if (earlier) {
            tickBroughtForward.raise();
        }
    }

    /** Runs everything that is due now. */
    void tick() {
        List<Runnable> work;
        double nowMs = clock.monotonicMs();
        synchronized (table) {
            detector.tick(nowMs);
            sender.tick(nowMs);
            work = exchanger.tick(nowMs);
            if (nowMs >= nextMaintenanceAtMs) {
                nextMaintenanceAtMs = nowMs + MAINTENANCE_INTERVAL_MS;
                table.removeExpiredTombstones();
                view = table.view();
            }
        }
        notifyListeners();
        work.forEach(executor::execute);
    }

    /**
     * Returns the members that this node currently knows.
     *
     * @return a snapshot, never null
     */
    public MembershipView view() {
        return view;
    }

    /**
     * Announces the instances of this host's backend server; other nodes learn of them within seconds.
     *
     * @param instances the instances; not null, at most {@link #MAX_INSTANCES}; their host, data centre, region and
     *     peer address are replaced by this node's
     * @throws IllegalArgumentException if there are more than {@link #MAX_INSTANCES} instances
     */
    public void announce(List<Instance> instances) {
        MemberCodec.checkedSize(instances.size(), MAX_INSTANCES);
        List<Instance> own = instances.stream().map(this::withLocalIdentity).toList();
        synchronized (table) {
            table.announce(own);
            sender.requestImmediateRound();
        }
        deliverChanges();
    }

    private Instance withLocalIdentity(Instance instance) {
        return new Instance(
                instance.service(),
                options.host(),
                options.dataCentre(),
                options.region(),
                options.peerAddress(),
                instance.slots(),
                instance.state(),
                instance.startedAtMs());
    }

    /**
     * Adds addresses through which this node joins, beside the seeds of its options, which may all be gone.
     *
     * @param addresses peer addresses of other nodes; not null
     */
    public void addSeeds(Collection<String> addresses) {
        synchronized (table) {
            exchanger.addSeeds(addresses);
        }
        bringTickForward();
    }

    /**
     * Sets the configuration revision in force on this node. A lower revision than before is ignored.
     *
     * @param revision the configuration revision
     */
    public void setConfigurationRevision(long revision) {
        synchronized (table) {
            table.setRevision(revision);
            sender.requestImmediateRound();
        }
        deliverChanges();
    }

    /**
     * Announces that this node leaves, and waits until the announcement has been gossiped as often as required, for at
     * most ten gossip intervals. Afterwards the node no longer refutes suspicions and no longer probes.
     *
     * @return true if the announcement was gossiped in time
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean leave() throws InterruptedException {
        beginLeave();
        double deadlineMs = clock.monotonicMs() + (double) options.gossipIntervalMs() * MAX_LEAVE_ROUNDS;
        while (!hasDisseminatedUpdates() && clock.monotonicMs() < deadlineMs) {
            clock.sleep(Math.min(LEAVE_POLL_MS, options.gossipIntervalMs()));
        }
        return hasDisseminatedUpdates();
    }

    void beginLeave() {
        synchronized (table) {
            table.leave();
            sender.requestImmediateRound();
        }
        deliverChanges();
    }

    boolean hasDisseminatedUpdates() {
        synchronized (table) {
            boolean alone = table.localPeers().isEmpty();
            return (alone || sender.isIdle()) && !table.hasPendingForwards();
        }
    }

    /** Stops without an announcement and closes the transport. */
    @Override
    public void close() {
        closed = true;
        Thread running = tickThread;
        if (running != null) {
            running.interrupt();
        }
        transport.close();
    }

    /**
     * Returns the handler of requests with the topic {@code MEMBERSHIP}.
     *
     * @return the handler, never null
     */
    public PeerRequestHandler requestHandler() {
        return (from, payload) -> exchanger.handleRequest(payload);
    }

    /**
     * Adds a listener.
     *
     * @param listener the listener, called after each change; not null
     */
    public void addListener(MembershipListener listener) {
        listeners.add(listener);
    }

    /**
     * Returns the counters.
     *
     * @return the live counters, never null
     */
    public MembershipCounters counters() {
        return counters;
    }

    private void receive(byte[] payload) {
        counters.datagramsReceived.increment();
        counters.datagramBytesReceived.add(payload.length);
        Datagram datagram;
        try {
            datagram = codec.decode(payload);
        } catch (IllegalArgumentException e) {
            counters.datagramsDropped.increment();
            LOG.debug("[member] Dropped a datagram of {} bytes: {}", payload.length, e.getMessage());
            return;
        }
        synchronized (table) {
            handle(datagram);
        }
        deliverChanges();
    }

    private void handle(Datagram datagram) {
        table.noteRevision(datagram.highestRevision());
        table.mergeAll(datagram.updates());
        table.noteMemberRevision(datagram.from(), datagram.revision());
        if (table.entry(datagram.from()) == null) {
            exchanger.onUnknownSender(datagram.fromAddress());
        }
        switch (datagram.type()) {
            case PING -> detector.onPing(datagram);
            case PING_REQUEST -> detector.onPingRequest(datagram, clock.monotonicMs());
            case ACK -> detector.onAck(datagram);
            case NACK -> detector.onNack(datagram);
            case GOSSIP -> {
                // The updates, which are merged above, are the whole content.
            }
            default -> throw new IllegalStateException("Unexpected datagram type " + datagram.type());
        }
    }

    /** To be called after each change of the table outside a tick. */
    private void deliverChanges() {
        bringTickForward();
        notifyListeners();
    }

    /** Replaces the view and notifies the listeners, one thread at a time and without holding the lock. */
    private void notifyListeners() {
        if (pendingDeliveries.getAndIncrement() != 0) {
            return;
        }
        int seen = 1;
        do {
            notifyListenersOnce();
            seen = pendingDeliveries.addAndGet(-seen);
        } while (seen != 0);
    }

    private void notifyListenersOnce() {
        List<Member> changed;
        MembershipView newView;
        synchronized (table) {
            if (!table.hasChanges()) {
                return;
            }
            changed = table.takeChangedMembers();
            newView = table.view();
            view = newView;
        }
        for (MembershipListener listener : listeners) {
            try {
                listener.membershipChanged(newView, changed);
            } catch (RuntimeException e) {
                LOG.error("[member] A membership listener threw an exception", e);
            }
        }
    }
}
