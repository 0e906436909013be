package org.sequoianotch.control.group;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.group.GroupMessage.AppendReply;
import org.sequoianotch.control.group.GroupMessage.AppendRequest;
import org.sequoianotch.control.group.GroupMessage.Declined;
import org.sequoianotch.control.group.GroupMessage.Reply;
import org.sequoianotch.control.group.GroupMessage.Request;
import org.sequoianotch.control.group.GroupMessage.SnapshotReply;
import org.sequoianotch.control.group.GroupMessage.SnapshotRequest;
import org.sequoianotch.control.group.GroupMessage.VoteReply;
import org.sequoianotch.control.group.GroupMessage.VoteRequest;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.log.MemberStore;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.error.Failure;
import org.sequoianotch.task.BroadcastSignal;
import org.sequoianotch.time.Clock;

/**
 * A member of a group that replicates a log with the Raft protocol.
 *
 * <p>This class performs no network I/O. The caller sends the requests that {@link #nextRequest} returns and reports
 * the outcome to {@link #onReply} or {@link #onRequestFailed}, passes requests of other members to {@link #handle}, and
 * calls {@link #tick} regularly. The time is read from the clock only, so that tests can drive the member step by step.
 *
 * <p>After a failure of the data folder or an unexpected exception the member withdraws: it declines every request,
 * because its votes and acknowledgements may no longer match what is stored.
 *
 * <p>This class is thread-safe; one lock guards all state.
 */
public final class RaftMember {
    private static final Logger LOGGER = LogManager.getLogger(RaftMember.class);

    private final GroupSettings settings;
    private final Clock clock;
    private final Replica replica;
    private final String ownId;
    private final PeerTable peers;
    /** Raised when a request may be ready to send or a read may be decided. */
    private final BroadcastSignal changed = new BroadcastSignal();

    private final SnapshotAssembler snapshotAssembler = new SnapshotAssembler();
    private final ElectionState election;
    private Role role = Role.FOLLOWER;
    private @Nullable Member leader;
    private double leaderSinceMs;
    private double lastTickAtMs;
    private long termStartIndex;
    private String fault = "";

    /**
     * Creates a member from its store. It starts as a follower that refuses votes for one election timeout, because a
     * leader may hold a lease that relies on a reply sent before the restart.
     *
     * @param store the open store; not null
     * @param machine the replicated state; not null
     * @param settings time and size limits; not null
     * @param clock the clock; not null
     * @param random randomizes the election timeouts; not null
     */
    public RaftMember(MemberStore store, StateMachine machine, GroupSettings settings, Clock clock, Random random) {
        this.settings = settings;
        this.clock = clock;
        this.election = new ElectionState(clock, random, settings.electionTimeoutMs());
        this.replica = new Replica(store, machine);
        this.ownId = store.memberId();
        this.peers = new PeerTable(ownId, settings, replica);
        this.lastTickAtMs = clock.monotonicMs();
        peers.refresh();
    }

    /**
     * Forms a group, unless this member already belongs to one. Only one member of a new group may call this.
     *
     * @param founders the initial members, including this one; not null
     */
    public synchronized void form(MemberSet founders) {
        if (!isFormed()) {
            LOGGER.info("[control] Forming control group {} with members {}.", founders.groupId(), founders.members());
            runOrWithdraw(0L, () -> replica.append(0, EntryKind.MEMBERS, founders.toBytes()));
            peers.refresh();
        }
    }

    /**
     * Returns whether this member has entries of a group's log.
     *
     * @return true if it belongs to a group
     */
    public synchronized boolean isFormed() {
        return replica.store.lastIndex() > 0;
    }

    /** Performs time-driven work: starts elections, steps down without a majority, and compacts the log. */
    public synchronized void tick() {
        runOrWithdraw(false, () -> {
            double nowMs = clock.monotonicMs();
            if (nowMs - lastTickAtMs > settings.electionTimeoutMs() / 2.0) {
                peers.restartSilences(nowMs);
            }
            lastTickAtMs = nowMs;
            if (role == Role.LEADER) {
                double contactMs = Math.max(peers.majorityAckedSentAtMs(nowMs), leaderSinceMs);
                if (contactMs + settings.electionTimeoutMs() < nowMs) {
                    stepDown(term(), "no majority replied within the election timeout");
                }
            } else if (election.isTimedOut() && isVoter()) {
                logLostRound();
                startRound(Role.PRE_CANDIDATE);
            }
            boolean lagging = role == Role.LEADER && peers.hasLaggingPeer();
            replica.compact(lagging ? settings.snapshotEntries() * 2L : settings.snapshotEntries());
            return true;
        });
    }

    private void logLostRound() {
        if (role != Role.FOLLOWER) {
            election.describeUnlessRepeated(replica.members())
                    .ifPresent(votes -> LOGGER.info(
                            "[control] Member {} was not elected as {} in term {} with entries up to {}: it got {}.",
                            ownId,
                            role,
                            term(),
                            replica.store.lastIndex(),
                            votes));
        }
    }

    private void startElection() {
        replica.store.saveVote(term() + 1, ownId);
        startRound(Role.CANDIDATE);
    }

    private void startRound(Role newRole) {
        role = newRole;
        leader = null;
        election.startRound();
        peers.reset();
        changed.raise();
        addVote(ownId);
    }

    private void addVote(String voterId) {
        election.addVote(voterId);
        if (election.isWon(replica.members()) && role == Role.PRE_CANDIDATE) {
            startElection();
        } else if (election.isWon(replica.members())) {
            becomeLeader();
        }
    }

    private void becomeLeader() {
        role = Role.LEADER;
        leader = replica.members().member(ownId).orElse(null);
        leaderSinceMs = clock.monotonicMs();
        peers.reset();
        termStartIndex = replica.append(term(), EntryKind.NO_OP, new byte[0]);
        LOGGER.info("[control] Member {} leads the control group in term {}.", ownId, term());
        commitByMajority();
        changed.raise();
    }

    private void stepDown(long newTerm, String reason) {
        if (newTerm > term()) {
            replica.store.saveVote(newTerm, "");
            leader = null;
        }
        if (role == Role.LEADER) {
            LOGGER.info("[control] Member {} no longer leads the control group: {}.", ownId, reason);
            replica.failPending("The leader stepped down: " + reason + ".");
            peers.clearLearners();
        }
        if (role != Role.FOLLOWER) {
            role = Role.FOLLOWER;
            leader = null;
            peers.reset();
            peers.endSilences();
            election.resetTimeout();
        }
        changed.raise();
    }

    /**
     * Returns whether this member has a vote by the newest membership entry in its log, committed or not.
     *
     * @return true if it is a voting member
     */
    public synchronized boolean isVoter() {
        return replica.members().member(ownId).isPresent();
    }

    private long term() {
        return replica.store.term();
    }

    /**
     * Handles a request of another member.
     *
     * @param targetId identity of the member that the request is addressed to; not null
     * @param request the request; not null
     * @return the reply, never null
     */
    public synchronized Reply handle(String targetId, Request request) {
        if (!targetId.equals(ownId)) {
            return new Declined("this host is member " + ownId + ", not member " + targetId);
        }
        String groupId = replica.members().groupId();
        if (!groupId.isEmpty() && !groupId.equals(request.groupId())) {
            return new Declined("this host belongs to group " + groupId + ", not to group " + request.groupId());
        }
        Reply reply = runOrWithdraw(null, () -> switch (request) {
            case VoteRequest vote -> handleVoteRequest(vote);
            case AppendRequest m -> handleLeaderRequest(
                    m.term(), m.leader(), new AppendReply(term(), false, 0), () -> replica.acceptEntries(m, term()));
            case SnapshotRequest m -> handleLeaderRequest(
                    m.term(),
                    m.leader(),
                    new SnapshotReply(term(), 0, false),
                    () -> snapshotAssembler.receive(m, replica, term()));
        });
        return reply == null ? new Declined(fault) : reply;
    }

    private VoteReply handleVoteRequest(VoteRequest request) {
        boolean hasLeader = role == Role.LEADER || election.hasRecentLeader();
        if (hasLeader || !replica.isUpToDate(request.lastIndex(), request.lastTerm())) {
            // The higher term is not adopted: a member that cannot win must not disrupt a leader that others follow.
            return new VoteReply(term(), false);
        }
        if (request.preVote()) {
            return new VoteReply(term(), request.term() > term());
        }
        if (request.term() > term()) {
            stepDown(request.term(), "member " + request.candidateId() + " started a later term");
        }
        boolean granted = replica.grantVote(request);
        if (granted) {
            election.resetTimeout();
        }
        return new VoteReply(term(), granted);
    }

    private Reply handleLeaderRequest(long leaderTerm, Member newLeader, Reply outdated, Supplier<Reply> acceptance) {
        if (leaderTerm < term()) {
            return outdated;
        }
        if (leaderTerm > term() || role != Role.FOLLOWER) {
            stepDown(leaderTerm, "member " + newLeader.id() + " leads term " + leaderTerm);
        }
        leader = newLeader;
        election.onLeaderContact();
        Reply reply = acceptance.get();
        peers.refresh();
        return reply;
    }

    /**
     * Returns the next request to send to a peer. At most one request to a peer is in flight at a time.
     *
     * @param peerId identity of the peer; not null
     * @return the request, or empty if nothing is to be sent now
     */
    public synchronized Optional<OutgoingRequest> nextRequest(String peerId) {
        return runOrWithdraw(Optional.empty(), () -> peers.nextRequest(peerId, clock.monotonicMs(), this::requestFor));
    }

    private Optional<Request> requestFor(PeerProgress peer, double nowMs) {
        return switch (role) {
            case FOLLOWER -> Optional.empty();
            case PRE_CANDIDATE -> peers.voteRequest(peer, term() + 1, true);
            case CANDIDATE -> peers.voteRequest(peer, term(), false);
            case LEADER -> leader == null ? Optional.empty() : peers.appendRequest(peer, leader, nowMs);
        };
    }

    /**
     * Waits for the next request to send to a peer.
     *
     * @param peerId identity of the peer; not null
     * @param maxWaitMs maximum wait in milliseconds; positive
     * @return the request, or empty if there was none within the time
     * @throws InterruptedException if the thread is interrupted
     */
    public Optional<OutgoingRequest> awaitNextRequest(String peerId, long maxWaitMs) throws InterruptedException {
        AtomicReference<Optional<OutgoingRequest>> outgoing = new AtomicReference<>(Optional.empty());
        changed.await(
                () -> {
                    outgoing.set(nextRequest(peerId));
                    return outgoing.get().isPresent();
                },
                Math.min(maxWaitMs, idleMs(peerId)));
        return outgoing.get().isPresent() ? outgoing.get() : nextRequest(peerId);
    }

    /** Returns the time until a request to a peer falls due, in milliseconds, if the state does not change. */
    private synchronized long idleMs(String peerId) {
        return role == Role.LEADER ? peers.untilHeartbeatMs(peerId, clock.monotonicMs()) : Long.MAX_VALUE;
    }

    /**
     * Processes the reply to a request. A reply that arrives after the next request was created is ignored.
     *
     * @param outgoing what {@link #nextRequest} returned; not null
     * @param reply the reply; not null
     */
    public synchronized void onReply(OutgoingRequest outgoing, Reply reply) {
        runOrWithdraw(false, () -> {
            Optional<PeerProgress> open = peers.completeRequest(outgoing, !(reply instanceof Declined));
            if (open.isEmpty() || reply instanceof Declined) {
                return false;
            }
            if (reply.term() > term()) {
                stepDown(reply.term(), "member " + outgoing.peer().id() + " is in a later term");
            } else if (reply instanceof VoteReply vote) {
                countVote(outgoing, vote);
            } else if (role == Role.LEADER && reply.term() == term()) {
                peers.recordReply(open.get(), outgoing, reply);
                commitByMajority();
            }
            changed.raise();
            return true;
        });
    }

    /**
     * Records that a request failed or timed out.
     *
     * @param outgoing what {@link #nextRequest} returned; not null
     */
    public synchronized void onRequestFailed(OutgoingRequest outgoing) {
        runOrWithdraw(false, () -> peers.completeRequest(outgoing, false).isPresent());
    }

    private void countVote(OutgoingRequest outgoing, VoteReply reply) {
        boolean preVote = outgoing.request() instanceof VoteRequest request && request.preVote();
        boolean thisRound = role == (preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE);
        if (thisRound && reply.granted()) {
            addVote(outgoing.peer().id());
        } else if (thisRound && role == Role.CANDIDATE) {
            election.onVoteDenied();
        }
    }

    private void commitByMajority() {
        long index = peers.majorityMatchIndex();
        if (index > replica.commitIndex() && replica.store.termAt(index) == term()) {
            replica.commitTo(index);
        }
        if (replica.membersCommitted() && !isVoter()) {
            stepDown(term(), "it was removed from the group");
        }
    }

    /**
     * Proposes an entry as the leader.
     *
     * @param kind the kind of the entry, for which {@link EntryKind#isApplied} is true; not null
     * @param proposal called under the lock; returns on the left a result that needs no log entry, on the right the
     *     data of the entry; not null
     * @return the future result: that of the state machine once the entry is committed, or a failure after which the
     *     entry may still be committed; never null
     */
    public synchronized CompletableFuture<Either<Failure, byte[]>> propose(
            EntryKind kind, Supplier<Either<byte[], byte[]>> proposal) {
        if (!holdsLease()) {
            return completed(Either.left(notLeading()));
        }
        // Outside runOrWithdraw: an exception in the check of one change must not make the member withdraw.
        Either<byte[], byte[]> decided = proposal.get();
        if (decided.isLeft()) {
            return completed(Either.right(decided.getLeft()));
        }
        return proposeEntry(kind, decided.get());
    }

    private CompletableFuture<Either<Failure, byte[]>> proposeEntry(EntryKind kind, byte[] data) {
        return runOrWithdraw(completed(Either.left(ControlError.ANSWER_LOST.failure(""))), () -> {
            CompletableFuture<Either<Failure, byte[]>> result = replica.appendAndAwait(term(), kind, data);
            peers.refresh();
            commitByMajority();
            changed.raise();
            return result;
        });
    }

    private static CompletableFuture<Either<Failure, byte[]>> completed(Either<Failure, byte[]> result) {
        return CompletableFuture.completedFuture(result);
    }

    /**
     * Starts to replicate the log to a host that is not a member yet, so that it catches up before it gets a vote.
     *
     * @param learner the host with its identity; not null
     * @return true, or the failure if this member does not lead
     */
    public synchronized Either<Failure, Boolean> addLearner(Member learner) {
        if (!holdsLease()) {
            return Either.left(notLeading());
        }
        peers.addLearner(learner, clock.monotonicMs());
        changed.raise();
        return Either.right(true);
    }

    /**
     * Returns whether a learner has every committed entry.
     *
     * @param memberId identity of the learner; not null
     * @return true if the learner may become a voting member
     */
    public synchronized boolean hasCaughtUp(String memberId) {
        return holdsLease() && peers.matchIndex(memberId) >= replica.commitIndex();
    }

    /**
     * Adds or removes one member as the leader. The previous membership change must be committed.
     *
     * @param added the member to add, or null for none
     * @param removedId identity of the member to remove, or empty for none; not null
     * @return the future result, empty bytes once the change is committed; never null
     */
    public synchronized CompletableFuture<Either<Failure, byte[]>> changeMembers(
            @Nullable Member added, String removedId) {
        if (!holdsLease()) {
            return completed(Either.left(notLeading()));
        }
        boolean caughtUp = added == null || peers.matchIndex(added.id()) >= replica.commitIndex();
        Either<Failure, MemberSet> target = replica.changedMembers(added, caughtUp, removedId);
        if (target.isLeft()) {
            return completed(Either.left(target.getLeft()));
        }
        return proposeEntry(EntryKind.MEMBERS, target.get().toBytes());
    }

    /**
     * Proposes the next membership change of a policy as the leader, once the previous one is committed. To be called
     * regularly; a change that is lost with the leadership is decided again by the next leader.
     *
     * @param policy the policy; not null
     * @return the change that was proposed, or empty if none is due or this member does not lead
     */
    public synchronized Optional<MemberChangePolicy.Change> changeMembers(MemberChangePolicy policy) {
        if (!holdsLease() || !replica.membersCommitted()) {
            return Optional.empty();
        }
        double nowMs = clock.monotonicMs();
        if (policy.removeAfterMs() > 0) {
            peers.removeSilentLearners(nowMs, policy.removeAfterMs());
        }
        Optional<MemberChangePolicy.Change> change = policy.nextChange(peers.voters(nowMs), peers.learners());
        change.ifPresent(this::propose);
        return change;
    }

    private void propose(MemberChangePolicy.Change change) {
        Member member = change.member();
        changeMembers(change.isAddition() ? member : null, change.isAddition() ? "" : member.id())
                .thenAccept(result -> result.peek(
                        done -> LOGGER.info("[control] {} {}.", change.isAddition() ? "Admitted" : "Removed", member)));
    }

    /**
     * Records that another member stops in an orderly way and has withdrawn from the group. If it was the leader, an
     * election is held at once instead of after the election timeout.
     *
     * @param memberId identity of the member; not null
     * @param leavingTerm the term in which it withdrew; a notice from an earlier term is ignored
     */
    public synchronized void onMemberLeaving(String memberId, long leavingTerm) {
        if (leavingTerm < term()) {
            return;
        }
        peers.setLeaving(memberId);
        if (role == Role.FOLLOWER && leader != null && leader.id().equals(memberId)) {
            leader = null;
            election.onLeaderLeft();
            changed.raise();
        }
    }

    /**
     * Reads the current state under the leader lease.
     *
     * @param <T> type of the result
     * @param reader called under the lock; not null
     * @return the result, or the failure if this member does not hold the lease
     */
    public synchronized <T> Either<Failure, T> readCurrent(Supplier<T> reader) {
        return holdsLease() ? Either.right(reader.get()) : Either.left(notLeading());
    }

    /**
     * Reads the current state after a majority has confirmed, by replies to requests created after the call began, that
     * this member still leads. Unlike the lease, this is also safe if the process was suspended meanwhile, because the
     * monotonic clock may not count that time.
     *
     * @param <T> type of the result
     * @param reader called under the lock; not null
     * @param timeoutMs maximum wait in milliseconds; positive
     * @return the result, or the failure if no majority confirmed the leadership in time
     */
    public <T> Either<Failure, T> readConfirmed(Supplier<T> reader, long timeoutMs) {
        double startMs = clock.monotonicMs();
        long startTerm;
        synchronized (this) {
            startTerm = term();
            peers.requestHeartbeats();
        }
        changed.raise();
        try {
            changed.await(() -> isReadDecided(startMs, startTerm), timeoutMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            return isReadConfirmed(startMs, startTerm) ? Either.right(reader.get()) : Either.left(notLeading());
        }
    }

    private synchronized boolean isReadDecided(double startMs, long startTerm) {
        return !isLeaderInTerm(startTerm) || isReadConfirmed(startMs, startTerm);
    }

    private boolean isLeaderInTerm(long inTerm) {
        return role == Role.LEADER && term() == inTerm && fault.isEmpty();
    }

    private boolean isReadConfirmed(double startMs, long startTerm) {
        boolean confirmed =
                replica.members().members().size() == 1 || peers.majorityAckedSentAtMs(clock.monotonicMs()) > startMs;
        return isLeaderInTerm(startTerm) && confirmed && replica.commitIndex() >= termStartIndex;
    }

    /**
     * Reads the local state, which may be stale.
     *
     * @param <T> type of the result
     * @param reader called under the lock; not null
     * @return the result
     */
    public synchronized <T> T readLocal(Supplier<T> reader) {
        return reader.get();
    }

    /** Withdraws from the group; to be called before the store is closed. */
    public synchronized void stop() {
        if (fault.isEmpty()) {
            withdraw("the member is stopped");
        }
    }

    private void withdraw(String reason) {
        fault = reason;
        role = Role.FOLLOWER;
        leader = null;
        replica.failPending(reason);
        changed.raise();
    }

    private Failure notLeading() {
        return fault.isEmpty() ? ControlError.NO_LEADER.failure("") : ControlError.STORAGE_FAILED.failure(fault);
    }

    /** Returns whether this member holds a valid lease and has applied every entry committed before its term. */
    private boolean holdsLease() {
        return leaseLeftMs() > 0 && replica.commitIndex() >= termStartIndex;
    }

    private double leaseLeftMs() {
        double nowMs = clock.monotonicMs();
        return role == Role.LEADER ? peers.majorityAckedSentAtMs(nowMs) + settings.leaseMs() - nowMs : 0;
    }

    /**
     * Returns the other members and the learners.
     *
     * @return the peers, never null
     */
    public synchronized List<Member> peers() {
        return peers.members();
    }

    /**
     * Returns the status of this member.
     *
     * @return the status, never null
     */
    public synchronized GroupStatus status() {
        boolean hasLeader = leader != null && election.hasRecentLeader();
        return new GroupStatus(
                ownId,
                role,
                term(),
                Optional.ofNullable(leader),
                replica.commitIndex(),
                replica.store.lastIndex(),
                (long) Math.max(0, leaseLeftMs()),
                fault.isEmpty() && (role == Role.LEADER ? holdsLease() : hasLeader),
                replica.members(),
                fault);
    }

    /**
     * Runs a state change; withdraws from the group if it throws, or returns {@code whenFaulty} if it withdrew before.
     */
    private <T extends @Nullable Object> T runOrWithdraw(T whenFaulty, Supplier<T> decision) {
        if (!fault.isEmpty()) {
            return whenFaulty;
        }
        try {
            return decision.get();
        } catch (RuntimeException e) {
            LOGGER.error("[control] Member {} takes no part in the control group any more.", ownId, e);
            withdraw(String.valueOf(e.getMessage()));
            return whenFaulty;
        }
    }
}
