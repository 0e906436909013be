package org.sequoianotch.daemon.ledger;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.link.PeerRequestHandler;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * Ledger host of a data centre, which stores a write-once claim for each key.
 *
 * <p>A host that starts without its claims is {@link State#RECOVERING} and refuses all requests about keys. It starts
 * serving in one of three ways:
 *
 * <ul>
 *   <li>It copies the claims of (members − majority + 1) other members that are serving. It first takes a higher
 *       incarnation number, which these members record and report with their grants, so that a claimant does not
 *       combine a grant of this host from before the loss with later grants of other hosts.
 *   <li>All members reply that they are not serving in the configured epoch, and form a new group. Until the retention
 *       time has passed, the group grants only keys that were minted after the formation; if it was formed before the
 *       configured opening time, it grants all other keys from that time on.
 *   <li>A serving member reports that this host took part in the formation of the group with its current boot id. This
 *       host has then been running since the formation and has lost no claims.
 * </ul>
 *
 * <p>A host whose data folder holds its claims serves at once. Call {@link #start()} once the peer listener accepts
 * connections, and {@link #close()} at the end. This class is thread-safe.
 */
public final class LedgerHost implements AutoCloseable {
    /** Whether a ledger host serves requests. */
    public enum State {
        /** It lost its claims or never had any, and refuses requests about keys. */
        RECOVERING,
        /** It serves requests. */
        SERVING,
        /** It is closed or its claim file failed. It serves no requests until it is restarted. */
        FAILED
    }

    private static final Logger LOG = LogManager.getLogger(LedgerHost.class);
    private static final long TICK_MS = 250;
    private static final long RECOVERY_TIMEOUT_MS = 2_000;
    private static final long SWEEP_INTERVAL_MS = 60_000;
    // Rewriting a smaller file costs more than it saves.
    private static final long COMPACTION_MIN_RECORDS = 10_000;

    private final String address;
    private final List<String> members;
    private final LedgerSettings settings;
    private final Clock clock;
    private final LedgerCounters counters;
    private final long bootId;
    private final ReentrantLock lock = new ReentrantLock();
    private final ClaimTable table = new ClaimTable();
    private final LedgerMessageHandler messageHandler;
    private final HostRecovery recovery;
    private @Nullable ClaimFile file;
    private volatile State state = State.RECOVERING;
    private volatile boolean closed;
    private long recordsInFile;
    private double lastSweepMs;

    private LedgerHost(
            String address,
            List<String> members,
            LedgerSettings settings,
            PeerRequester requester,
            Clock clock,
            LedgerCounters counters,
            RandomGenerator random,
            Executor executor) {
        this.address = address;
        this.members = List.copyOf(members);
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.bootId = random.nextLong();
        this.messageHandler = new LedgerMessageHandler(table, settings, clock, counters, this::apply, bootId);
        this.lastSweepMs = clock.monotonicMs();
        this.recovery = new HostRecovery(this, new LedgerPeers(requester, clock, executor, null), clock);
    }

    /**
     * Opens a ledger host.
     *
     * @param address the address at which the other members reach the peer listener of this host; not null
     * @param members the addresses of all ledger hosts of the data centre, including this one; not null
     * @param settings the settings; not null
     * @param requester sends messages to the other members; not null
     * @param clock the clock; not null
     * @param counters the counters of the node; not null
     * @param random source of randomness that does not repeat after a restart, such as {@code SecureRandom}; not null
     * @return the host, or the failure if the address is not a member or the claim file cannot be used
     */
    public static Either<Failure, LedgerHost> open(
            String address,
            List<String> members,
            LedgerSettings settings,
            PeerRequester requester,
            Clock clock,
            LedgerCounters counters,
            RandomGenerator random) {
        Executor executor = Executors.newThreadPerTaskExecutor(
                Thread.ofVirtual().name("ledger-request-", 0).factory());
        return open(address, members, settings, requester, clock, counters, random, executor);
    }

    static Either<Failure, LedgerHost> open(
            String address,
            List<String> members,
            LedgerSettings settings,
            PeerRequester requester,
            Clock clock,
            LedgerCounters counters,
            RandomGenerator random,
            Executor executor) {
        if (!members.contains(address)) {
            return Either.left(Failure.of(
                    ErrorKind.INTERNAL, "The ledger hosts " + members + " do not include this host, " + address + "."));
        }
        LedgerHost host = new LedgerHost(address, members, settings, requester, clock, counters, random, executor);
        try {
            host.openFile();
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.INTERNAL, "The claim file cannot be used: " + e.getMessage()));
        }
        return Either.right(host);
    }

    /** Starts the background work on a virtual thread: recovery, removal of expired claims, and compaction. */
    public void start() {
        TaskThreads.startLoop("ledger-host", () -> !closed, TICK_MS, () -> {
            tick();
            clock.sleep(TICK_MS);
        });
    }

    /**
     * Returns the handler for messages of other nodes.
     *
     * @return the handler for {@code Topic.LEDGER}, never null
     */
    public PeerRequestHandler requestHandler() {
        return (from, payload) -> {
            LedgerMessage message;
            try {
                message = MessageCodec.decodeMessage(payload);
            } catch (LedgerCodec.MalformedException e) {
                counters.badMessages().increment();
                LOG.warn("[ledger] {} sent a malformed message: {}", from, e.getMessage());
                return Either.left(Failure.of(ErrorKind.BAD_REQUEST, "The ledger message is malformed."));
            }
            return handle(message).map(MessageCodec::encode);
        };
    }

    /**
     * Returns whether the host serves requests.
     *
     * @return the state, never null
     */
    public State state() {
        return state;
    }

    /**
     * Returns the address of the host.
     *
     * @return the address, never null
     */
    public String address() {
        return address;
    }

    /**
     * Returns the number of keys with claims, including completed ones.
     *
     * @return the number of keys
     */
    public int claimCount() {
        lock.lock();
        try {
            return table.size();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the time before which claims may have been granted that this ledger does not know.
     *
     * @return wall-clock time in milliseconds since the Unix epoch; {@code Long.MAX_VALUE} while the host recovers
     */
    public long completeFromMs() {
        lock.lock();
        try {
            Formation formation = messageHandler.formation();
            return formation == null ? Long.MAX_VALUE : formation.completeFromMs();
        } finally {
            lock.unlock();
        }
    }

    /** Stops the background work and closes the claim file. Every change whose reply was sent is already on disk. */
    @Override
    public void close() {
        closed = true;
        state = State.FAILED;
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            LOG.warn("[ledger] Closing the claim file failed: {}", e.getMessage());
        }
    }

    /** Makes one recovery attempt if needed, removes expired claims and compacts the file. */
    void tick() {
        if (state == State.RECOVERING) {
            recovery.attempt(RECOVERY_TIMEOUT_MS);
        }
        lock.lock();
        try {
            double nowMs = clock.monotonicMs();
            if (nowMs - lastSweepMs >= SWEEP_INTERVAL_MS) {
                lastSweepMs = nowMs;
                table.sweep(clock.nowMs());
                counters.claimsHeld().set(table.size());
                compactIfWorthwhile();
            }
        } catch (IOException e) {
            fail(e);
        } finally {
            lock.unlock();
        }
    }

    Either<Failure, LedgerReply> handle(LedgerMessage message) {
        LedgerReply reply;
        long recordNumber;
        lock.lock();
        try {
            if (state == State.FAILED) {
                return Either.left(
                        Failure.of(ErrorKind.INTERNAL, "The ledger host is closed or its claim file failed."));
            }
            reply = state == State.SERVING || message instanceof LedgerMessage.Status
                    ? messageHandler.handle(message)
                    : new LedgerReply.Refused(LedgerReply.Reason.RECOVERING);
            recordNumber = file == null ? 0 : file.lastAppended();
        } finally {
            lock.unlock();
        }
        return awaitSynced(recordNumber) ? Either.right(reply) : Either.left(fileFailure());
    }

    /** Starts serving in the given formation, with the given copied claims merged into those held. */
    boolean serve(
            Incarnation incarnation,
            Formation formation,
            List<LedgerRecord.Entry> copied,
            List<LedgerRecord> memberIncarnations) {
        long recordNumber;
        lock.lock();
        try {
            if (state != State.RECOVERING) {
                return false;
            }
            for (LedgerRecord.Entry entry : copied) {
                List<StoredClaim> merged = HostRecovery.merge(table.claims(entry.key(), clock.nowMs()), entry.claims());
                apply(new LedgerRecord.Entry(entry.key(), merged));
            }
            apply(new LedgerRecord.Serving(incarnation, formation));
            memberIncarnations.forEach(this::apply);
            recordNumber = file == null ? 0 : file.lastAppended();
            if (!awaitSynced(recordNumber)) {
                return false;
            }
            state = State.SERVING;
            counters.claimsHeld().set(table.size());
        } finally {
            lock.unlock();
        }
        LOG.info(
                "[ledger] {} is serving with {} copied keys; its claims are complete from {}",
                address,
                copied.size(),
                Instant.ofEpochMilli(formation.completeFromMs()));
        return true;
    }

    long bootId() {
        return bootId;
    }

    long epoch() {
        return settings.epoch();
    }

    List<String> otherMembers() {
        return members.stream().filter(member -> !member.equals(address)).toList();
    }

    int majority() {
        return members.size() / 2 + 1;
    }

    private void apply(LedgerRecord entry) {
        table.apply(entry);
        if (file != null) {
            file.append(LedgerRecord.encode(entry));
            recordsInFile++;
        }
    }

    private void openFile() throws IOException {
        if (settings.dataFolder().isEmpty()) {
            return;
        }
        file = ClaimFile.open(settings.dataFolder().get(), counters, payload -> {
            table.apply(LedgerRecord.decode(payload));
            recordsInFile++;
        });
        table.sweep(clock.nowMs());
        counters.claimsHeld().set(table.size());
        if (messageHandler.formation() != null) {
            state = State.SERVING;
            LOG.info("[ledger] {} is serving with {} keys from its claim file", address, table.size());
        }
    }

    private void compactIfWorthwhile() throws IOException {
        long live = table.size() + table.tombstoneCount();
        if (file != null && recordsInFile > COMPACTION_MIN_RECORDS && recordsInFile > 2 * live) {
            compact();
        }
    }

    /** Rewrites the file with the current state. Requests wait until it is done. */
    void compact() throws IOException {
        lock.lock();
        try {
            if (file != null) {
                List<LedgerRecord> records = table.records();
                file.rewrite(() -> records.stream().map(LedgerRecord::encode).iterator());
                recordsInFile = records.size();
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean awaitSynced(long recordNumber) {
        if (file == null) {
            return true;
        }
        try {
            file.awaitSynced(recordNumber);
            return true;
        } catch (IOException e) {
            fail(e);
            return false;
        }
    }

    private void fail(IOException e) {
        if (!closed) {
            LOG.error("[ledger] {} stops serving, because its claim file failed: {}", address, e.getMessage());
        }
        state = State.FAILED;
    }

    private static Failure fileFailure() {
        return Failure.of(ErrorKind.INTERNAL, "The claim file of the ledger host failed.");
    }
}
