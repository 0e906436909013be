package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.group.GroupSettings;
import org.sequoianotch.control.group.GroupStatus;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.group.RaftMember;
import org.sequoianotch.control.group.Role;
import org.sequoianotch.control.log.DiskFolder;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.log.MemberStore;
import org.sequoianotch.control.log.OffloadedFolder;
import org.sequoianotch.control.log.StorageException;
import org.sequoianotch.control.log.StorageFolder;
import org.sequoianotch.control.state.AuditRecord;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.ChangeResult;
import org.sequoianotch.control.state.ConfigurationCheck;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.control.state.Departure;
import org.sequoianotch.control.state.DepartureRecords;
import org.sequoianotch.control.state.ReplicatedState;
import org.sequoianotch.control.state.TemplateState;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequestHandler;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * The member of the control group that runs on a control host.
 *
 * <p>Use: create it, register {@link #requestHandler} for {@link Topic#CONTROL}, and call {@link #start}.
 *
 * <p>This class is thread-safe.
 */
public final class ControlGroup implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(ControlGroup.class);
    private static final int TICKS_PER_ELECTION_TIMEOUT = 10;
    private static final long LEADER_RETRY_INTERVAL_MS = 50;
    /** Allows for two failed elections before a member assumes that it was removed from the group. */
    private static final int LOST_CONTACT_ELECTION_TIMEOUTS = 3;
    /** Limits how long a fetch request is held, so that a host that stops does not hold it for long. */
    private static final long MAX_FETCH_WAIT_MS = 30_000;

    private static final long LISTENER_WAIT_MS = 1_000;
    /** Further control hosts of a new deployment are admitted within seconds, if there are any. */
    private static final long MAX_INCOMPLETE_MS = 10_000;

    private final ControlGroupOptions options;
    private final PeerRequester requester;
    private final Clock clock;
    private final RevisionNotifier revisions = new RevisionNotifier();
    private final ControlDirectory directory;
    private final ReplicatedState replicated;
    /** The templates in the replicated state. */
    private final TemplateState state;

    private final List<Consumer<TemplateTexts>> listeners = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private volatile @Nullable RunningMember running;
    /** Time of the last contact with the group. Written by the formation task after the start. */
    private volatile double contactAtMs;
    /** Written by the start before any request is handled. */
    private volatile double startedAtMs;
    /** Highest revision that the listeners were notified of. Written by the listener task after the start. */
    private volatile long notifiedRevision;

    private record RunningMember(MemberStore store, RaftMember raft, PeerTasks tasks, MemberAdmission admission) {}

    /**
     * Creates a member that is not started, of a group whose hosts are all named in the options.
     *
     * @param options the options; not null
     * @param requester sends requests to other hosts; not null
     * @param clock the clock; not null
     */
    public ControlGroup(ControlGroupOptions options, PeerRequester requester, Clock clock) {
        this(options, options::hosts, ConfigurationCheck.TEMPLATES, requester, clock);
    }

    /**
     * Creates a member that is not started, of a group whose hosts are discovered at run time.
     *
     * @param options the options; not null
     * @param directory the known control hosts; not null
     * @param check validates changes; not null
     * @param requester sends requests to other hosts; not null
     * @param clock the clock; not null
     */
    public ControlGroup(
            ControlGroupOptions options,
            ControlDirectory directory,
            ConfigurationCheck check,
            PeerRequester requester,
            Clock clock) {
        this.options = Objects.requireNonNull(options, "options");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.replicated = new ReplicatedState(new TemplateState(check));
        this.state = replicated.templates();
        this.requester = Objects.requireNonNull(requester, "requester");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Opens the data folder, restores the state and joins the group.
     *
     * @throws StorageException if the data folder is corrupt, incomplete or in use
     * @throws IllegalStateException if the member is already started
     */
    public synchronized void start() {
        if (running != null) {
            throw new IllegalStateException("the control group member is already started");
        }
        startedAtMs = clock.monotonicMs();
        running = open();
        contactAtMs = startedAtMs;
        notifiedRevision = 0;
        startLoop("control-tick", this::tick);
        startLoop("control-formation", this::updateMembership);
        startLoop("control-listeners", this::notifyListeners);
    }

    private RunningMember open() {
        StorageFolder folder =
                new OffloadedFolder(TaskThreads.callBlocking(() -> DiskFolder.open(options.dataFolder())));
        try {
            MemberStore store = openStore(folder);
            RaftMember raft = new RaftMember(
                    store, new PublishingStateMachine(replicated, revisions), options.settings(), clock, new Random());
            PeerTasks tasks = new PeerTasks(raft, requester, options, directory);
            LOGGER.info(
                    "[control] Started as member {} in term {}; the data folder has entries up to {} and {} voters.",
                    store.memberId(),
                    store.term(),
                    store.lastIndex(),
                    raft.status().members().members().size());
            return new RunningMember(
                    store,
                    raft,
                    tasks,
                    new MemberAdmission(options, directory, raft, store.mayFormGroup(), requester, clock));
        } catch (StorageException e) {
            folder.close();
            throw e;
        } catch (IllegalArgumentException e) {
            folder.close();
            throw new StorageException("the snapshot in " + options.dataFolder() + " cannot be read", e);
        }
    }

    private MemberStore openStore(StorageFolder folder) {
        String newMemberId = options.host().name() + "." + UUID.randomUUID();
        try {
            return MemberStore.open(folder, newMemberId, options.formation().formationAllowed());
        } catch (StorageException e) {
            if (!e.isCorruption() || !options.formation().discardsCorruptFolder()) {
                throw e;
            }
            LOGGER.error(
                    "[control] Data folder {} is corrupt or incomplete; removing its files to join as a new member.",
                    options.dataFolder(),
                    e);
            MemberStore.discard(folder);
            return MemberStore.open(folder, newMemberId);
        }
    }

    private void startLoop(String name, TaskThreads.Step step) {
        threads.add(TaskThreads.startLoop(name, () -> running != null, tickIntervalMs(), step));
    }

    private long tickIntervalMs() {
        return Math.max(1, options.settings().electionTimeoutMs() / TICKS_PER_ELECTION_TIMEOUT);
    }

    private void tick() throws InterruptedException {
        RunningMember current = running;
        if (current == null) {
            return;
        }
        current.raft().tick();
        current.tasks().refresh();
        current.admission().changeMembers();
        if (options.formation().discardsCorruptFolder()
                && !current.raft().status().fault().isEmpty()) {
            reopen(current);
        }
        clock.sleep(tickIntervalMs());
    }

    /**
     * Reopens the data folder after a failure, once that succeeds. The state is read from disk again, because it may
     * differ from the state in memory after a failed write.
     */
    private void reopen(RunningMember failed) throws InterruptedException {
        failed.tasks().close();
        closeQuietly(failed);
        while (running != null) {
            clock.sleep(options.settings().electionTimeoutMs());
            try {
                RunningMember opened = open();
                synchronized (this) {
                    if (running != null) {
                        running = opened;
                        return;
                    }
                }
                closeQuietly(opened);
            } catch (StorageException e) {
                LOGGER.warn("[control] Failed to reopen the data folder; retrying: {}", e.getMessage());
            }
        }
    }

    private static void closeQuietly(RunningMember closing) {
        try {
            closing.raft().stop();
            closing.store().close();
        } catch (StorageException e) {
            LOGGER.warn("[control] Failed to close the data folder: {}", e.getMessage());
        }
    }

    private void updateMembership() throws InterruptedException {
        RunningMember current = running;
        if (current == null) {
            return;
        }
        double nowMs = clock.monotonicMs();
        boolean inContact = current.raft().status().inContact();
        if (inContact) {
            contactAtMs = nowMs;
        }
        // A member that was removed while unreachable gets no requests, so it requests admission again.
        boolean lostContact = options.formation().removeUnresponsiveAfterMs() > 0
                && nowMs - contactAtMs
                        > LOST_CONTACT_ELECTION_TIMEOUTS * options.settings().electionTimeoutMs();
        try {
            // A new member that the leader sends its log to waits for its admission.
            if (!current.raft().isVoter() && !inContact || lostContact) {
                current.admission().formOrJoin();
            }
        } catch (IllegalArgumentException e) {
            LOGGER.warn("[control] A control host sent a malformed response: {}", e.getMessage());
        }
        clock.sleep(Math.max(1, options.settings().electionTimeoutMs() / 2));
    }

    private void notifyListeners() throws InterruptedException {
        TemplateTexts newest = revisions.await(notifiedRevision, LISTENER_WAIT_MS);
        if (newest.revision() > notifiedRevision) {
            notifiedRevision = newest.revision();
            listeners.forEach(listener -> notifyListener(listener, newest));
        }
    }

    private static void notifyListener(Consumer<TemplateTexts> listener, TemplateTexts texts) {
        try {
            listener.accept(texts);
        } catch (RuntimeException e) {
            LOGGER.error("[control] A listener failed on revision {}.", texts.revision(), e);
        }
    }

    /**
     * Adds a listener that is notified of committed revisions, in increasing order. Intermediate revisions may be
     * skipped, and a revision that was published before the listener was added is not repeated.
     *
     * @param listener the listener; not null
     */
    public void addListener(Consumer<TemplateTexts> listener) {
        listeners.add(listener);
    }

    /**
     * Applies a change at the leader, which may be this member. A resend with the same change id gets the first result.
     *
     * @param request the change; not null
     * @return the result, or a failure after which the change may or may not be accepted
     */
    public Either<Failure, ChangeResult> apply(ChangeRequest request) {
        return applyAtLeader(request).map(ChangeResult::of);
    }

    private Either<Failure, byte[]> applyAtLeader(ChangeRequest request) {
        Optional<ChangeResult> refusal = refusalForSize(request);
        return refusal.isPresent()
                ? Either.right(refusal.get().toBytes())
                : runAtLeader(() -> applyHere(request), new ControlRequest.Change(false, request));
    }

    /** Refuses a change that the leader could not send to the other members, and that would block all later changes. */
    private Optional<ChangeResult> refusalForSize(ChangeRequest request) {
        // A character has up to three bytes, which compression does not increase.
        if (request.templateText().length() * 3L < GroupSettings.MAX_ENTRY_BYTES) {
            return Optional.empty();
        }
        int sizeBytes = TemplateState.encodeEntry(request, clock.nowMs()).length;
        if (sizeBytes <= GroupSettings.MAX_ENTRY_BYTES) {
            return Optional.empty();
        }
        String detail = "The change has " + sizeBytes + " bytes when compressed; the limit is "
                + GroupSettings.MAX_ENTRY_BYTES + " bytes.";
        return Optional.of(new ChangeResult.Refused(ControlError.INVALID_TEMPLATE, revision(), detail, List.of()));
    }

    /**
     * Refuses the first entries of a new group while it has fewer voters than it needs to bear the losses that it is to
     * bear. With the founders as its only voters, an acknowledged entry could be lost together with the group. A group
     * that finds no further control hosts accepts entries after a while.
     */
    private Optional<Failure> refusalWhileIncomplete() {
        GroupFormation formation = options.formation();
        int voters = raft().status().members().members().size();
        if (!formation.isOpen() || voters >= formation.minVoters() || revision() > 0) {
            return Optional.empty();
        }
        if (clock.monotonicMs() - startedAtMs > MAX_INCOMPLETE_MS) {
            LOGGER.warn(
                    "[control] The first entry is accepted with {} voters, though {} are needed to bear the losses that"
                            + " the deployment is to bear.",
                    voters,
                    formation.minVoters());
            return Optional.empty();
        }
        return Optional.of(ControlError.NO_LEADER.failure("The new group has " + voters + " of the "
                + formation.minVoters() + " voters that it needs before it accepts entries."));
    }

    private Either<Failure, byte[]> applyHere(ChangeRequest request) {
        Optional<Failure> refusal = refusalWhileIncomplete();
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        return ProposalResults.await(
                raft().propose(EntryKind.CHANGE, () -> state.check(request)
                        .<Either<byte[], byte[]>>map(result -> Either.left(result.toBytes()))
                        .orElseGet(() -> Either.right(TemplateState.encodeEntry(request, clock.nowMs())))),
                options.changeTimeoutMs());
    }

    /**
     * Reads the current templates from the leader. They include every change that was accepted before the call.
     *
     * @return the templates, or the failure if no leader with a majority is reachable
     */
    public Either<Failure, TemplateTexts> read() {
        return runAtLeader(this::readHere, new ControlRequest.Read(false))
                .map(bytes -> TemplateTexts.decode(new Decoder(bytes)));
    }

    /** Returns the encoded current templates like {@link #read}, but does not wait for a leader. */
    Either<Failure, byte[]> readWithoutRetry() {
        return runAtLeaderOnce(this::readHere, new ControlRequest.Read(false));
    }

    /** Returns the encoded local state, which may be stale. */
    byte[] stateBytes() {
        return raft().readLocal(replicated::snapshot);
    }

    private Either<Failure, byte[]> readHere() {
        return raft().readConfirmed(state::texts, options.changeTimeoutMs()).map(texts -> {
            Encoder encoder = new Encoder();
            texts.encode(encoder);
            return encoder.toBytes();
        });
    }

    /** Records a departure as the leader; a departure that is already recorded needs no entry. */
    private Either<Failure, byte[]> recordDepartureHere(HostId host, Departure departure) {
        Optional<Failure> refusal = refusalWhileIncomplete();
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        DepartureRecords departures = replicated.departures();
        return ProposalResults.await(
                raft().propose(
                                EntryKind.DEPARTURE,
                                () -> departures.includes(host, departure)
                                        ? Either.left(new byte[0])
                                        : Either.right(DepartureRecords.encodeEntry(host, departure))),
                options.changeTimeoutMs());
    }

    /** Reads the departures as the leader, with every one that was acknowledged before the call. */
    private Either<Failure, byte[]> readDeparturesHere(HostId host) {
        return raft().readConfirmed(() -> replicated.departures().of(host), options.changeTimeoutMs())
                .map(Departure::encodeAll);
    }

    /** Only a host itself changes or reads its departures, or a control host on its behalf. */
    private boolean mayActFor(HostId from, HostId host) {
        return from.equals(host)
                || directory.hosts().containsKey(from)
                || raft().status().members().memberOf(from).isPresent();
    }

    private Either<Failure, byte[]> handleDepartureRequest(HostId from, HostId host, LocalOperation operation) {
        return mayActFor(from, host)
                ? operation.get()
                : Either.left(Failure.of(
                        ErrorKind.BAD_REQUEST,
                        "Host " + from + " may not act for the instances of host " + host + "."));
    }

    private interface LocalOperation {
        Either<Failure, byte[]> get();
    }

    /** Runs an operation at the leader, or only here if the request was forwarded to this member as the leader. */
    private Either<Failure, byte[]> run(boolean mayForward, LocalOperation local, ControlRequest forwarded) {
        return mayForward ? runAtLeader(local, forwarded) : local.get();
    }

    /** Runs an operation here if this member leads, or at the leader; retries until the timeout while there is none. */
    private Either<Failure, byte[]> runAtLeader(LocalOperation local, ControlRequest forwarded) {
        double endMs = clock.monotonicMs() + options.changeTimeoutMs();
        Either<Failure, byte[]> result = runAtLeaderOnce(local, forwarded);
        while (isNoLeader(result) && clock.monotonicMs() < endMs) {
            try {
                clock.sleep(LEADER_RETRY_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return result;
            }
            result = runAtLeaderOnce(local, forwarded);
        }
        return result;
    }

    private Either<Failure, byte[]> runAtLeaderOnce(LocalOperation local, ControlRequest forwarded) {
        GroupStatus status = raft().status();
        Optional<Member> leader = status.leader();
        if (status.role() == Role.LEADER || leader.isEmpty()) {
            return local.get();
        }
        return requester
                .request(
                        directory
                                .hosts()
                                .getOrDefault(leader.get().host(), leader.get().address()),
                        Topic.CONTROL,
                        forwarded.toBytes(),
                        options.changeTimeoutMs())
                .mapLeft(failure -> leaderRequestFailure(leader.get().host(), failure))
                .flatMap(ControlRequest::decodeResponse);
    }

    /** Maps the failure of a request: one that was not executed may be retried, any other may have been executed. */
    private static Failure leaderRequestFailure(HostId leader, Failure failure) {
        ControlError error = failure.provesNotRun() ? ControlError.NO_LEADER : ControlError.ANSWER_LOST;
        return error.failure("The request to the leader on host " + leader + " failed: " + failure.detail());
    }

    private static boolean isNoLeader(Either<Failure, byte[]> result) {
        return result.isLeft() && result.getLeft().detail().startsWith(ControlError.NO_LEADER.code() + ":");
    }

    /**
     * Adds a host to the group after it has caught up. If the host is a member under another identity, that identity is
     * removed first.
     *
     * @param host the host, which must be a control host that was started with an empty data folder; not null
     * @param address address of its peer listener; not null
     * @return true once the change is committed, or the failure
     */
    public Either<Failure, Boolean> addMember(HostId host, String address) {
        return runAtLeader(() -> admission().addMember(host, address), new ControlRequest.AddMember(host, address))
                .map(done -> true);
    }

    /**
     * Removes a host from the group.
     *
     * @param host the host; not null
     * @return true once the change is committed, or the failure
     */
    public Either<Failure, Boolean> removeMember(HostId host) {
        return runAtLeader(() -> admission().removeMember(host), new ControlRequest.RemoveMember(host))
                .map(done -> true);
    }

    /**
     * Returns the status of this member.
     *
     * @return the status, never null
     */
    public GroupStatus status() {
        return raft().status();
    }

    /**
     * Returns the addresses of the group's members in the data folder of this host.
     *
     * @return the addresses of their peer listeners, empty before this host belongs to a group; never null
     */
    public List<String> storedAddresses() {
        return raft().status().members().members().stream().map(Member::address).toList();
    }

    /**
     * Returns the highest revision known here to be committed, which may be stale.
     *
     * @return the revision, or zero if none is known
     */
    public long revision() {
        return revisions.newest().revision();
    }

    /**
     * Returns the newest audit records known here, which may be stale.
     *
     * @param maxRecords maximum number of records; not negative
     * @return the records, newest first, never null
     */
    public List<AuditRecord> audit(int maxRecords) {
        return raft().readLocal(() -> state.audit(maxRecords));
    }

    /**
     * Returns the handler of the control topic for this host.
     *
     * @return the handler, never null
     */
    public PeerRequestHandler requestHandler() {
        return (from, payload) -> {
            try {
                return Either.right(ControlRequest.encodeResponse(handleRequest(from, ControlRequest.of(payload))));
            } catch (IllegalArgumentException e) {
                return Either.left(Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(e.getMessage())));
            } catch (RuntimeException e) {
                LOGGER.error("[control] A request of host {} failed with an unexpected exception.", from, e);
                return Either.left(Failure.of(ErrorKind.INTERNAL, String.valueOf(e.getMessage())));
            }
        };
    }

    private Either<Failure, byte[]> handleRequest(HostId from, ControlRequest request) {
        if (running == null) {
            return Either.left(ControlError.NO_LEADER.failure("The control host is not started."));
        }
        return switch (request) {
            case ControlRequest.RaftRequest r -> {
                Encoder encoder = new Encoder();
                raft().handle(r.targetId(), r.request()).encode(encoder);
                yield Either.right(encoder.toBytes());
            }
            case ControlRequest.Hello r -> Either.right(
                    admission().helloResponse().toBytes());
            case ControlRequest.Join r -> admission().handleJoin(from, r);
            case ControlRequest.Change r -> r.mayForward() ? applyAtLeader(r.request()) : applyHere(r.request());
            case ControlRequest.Read r -> run(r.mayForward(), this::readHere, new ControlRequest.Read(false));
            case ControlRequest.Fetch r -> Either.right(fetch(r).toBytes());
            case ControlRequest.AddMember r -> admission().addMember(r.host(), r.address());
            case ControlRequest.RemoveMember r -> admission().removeMember(r.host());
            case ControlRequest.Leave r -> admission().handleLeave(r);
            case ControlRequest.RecordDeparture r -> handleDepartureRequest(
                    from,
                    r.host(),
                    () -> run(
                            r.mayForward(),
                            () -> recordDepartureHere(r.host(), r.departure()),
                            new ControlRequest.RecordDeparture(false, r.host(), r.departure())));
            case ControlRequest.ReadDepartures r -> handleDepartureRequest(
                    from,
                    r.host(),
                    () -> run(
                            r.mayForward(),
                            () -> readDeparturesHere(r.host()),
                            new ControlRequest.ReadDepartures(false, r.host())));
        };
    }

    private ControlRequest.FetchResponse fetch(ControlRequest.Fetch request) {
        RunningMember current = running;
        boolean inContact = current != null && current.raft().status().inContact();
        // Without contact with the group the request is not held, so that the node fails over to another control host.
        long maxWaitMs = inContact ? MAX_FETCH_WAIT_MS : 0;
        TemplateTexts texts = TemplateFollower.awaitNewer(revisions, request, maxWaitMs);
        return new ControlRequest.FetchResponse(inContact, texts.revision() > request.knownRevision(), texts);
    }

    private RaftMember raft() {
        return requireRunning().raft();
    }

    private MemberAdmission admission() {
        return requireRunning().admission();
    }

    private RunningMember requireRunning() {
        RunningMember current = running;
        if (current == null) {
            throw new IllegalStateException("the control group member is not started");
        }
        return current;
    }

    /** Stops this member, and announces that to the others, so that they need not wait for a timeout to notice it. */
    @Override
    public synchronized void close() {
        RunningMember current = running;
        if (current == null) {
            return;
        }
        running = null;
        revisions.close();
        current.tasks().close();
        threads.forEach(Thread::interrupt);
        current.raft().stop();
        current.admission().announceLeave();
        current.store().close();
    }
}
