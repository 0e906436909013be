package org.sequoianotch.control.group;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.group.GroupMessage.AppendReply;
import org.sequoianotch.control.group.GroupMessage.AppendRequest;
import org.sequoianotch.control.group.GroupMessage.Reply;
import org.sequoianotch.control.group.GroupMessage.Request;
import org.sequoianotch.control.group.GroupMessage.SnapshotReply;
import org.sequoianotch.control.group.GroupMessage.SnapshotRequest;
import org.sequoianotch.control.group.GroupMessage.VoteRequest;
import org.sequoianotch.control.log.LogEntry;

/** Replication state of all peers, and the requests for them. Guarded by the lock of {@link RaftMember}. */
final class PeerTable {
    private final String ownId;
    private final GroupSettings settings;
    private final Replica replica;
    private final Map<String, Member> learners = new TreeMap<>();
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    private byte @Nullable [] snapshotBytes;
    private long snapshotBytesIndex;

    PeerTable(String ownId, GroupSettings settings, Replica replica) {
        this.ownId = ownId;
        this.settings = settings;
        this.replica = replica;
    }

    /** Updates the peers to the members in the log and the learners. */
    void refresh() {
        Map<String, Member> currentPeers = new HashMap<>(learners);
        replica.members().members().forEach(member -> currentPeers.put(member.id(), member));
        currentPeers.remove(ownId);
        peers.keySet().retainAll(currentPeers.keySet());
        currentPeers.forEach((id, member) -> {
            PeerProgress peer = peers.get(id);
            if (peer == null) {
                peer = new PeerProgress(member);
                peer.reset(replica.store.lastIndex());
                peers.put(id, peer);
            }
            peer.voter = replica.members().member(id).isPresent();
        });
        learners.keySet().removeIf(id -> replica.members().member(id).isPresent());
    }

    void reset() {
        refresh();
        peers.values().forEach(peer -> peer.reset(replica.store.lastIndex()));
    }

    void addLearner(Member learner, double nowMs) {
        if (peers.containsKey(learner.id())) {
            return;
        }
        learners.put(learner.id(), learner);
        refresh();
        Objects.requireNonNull(peers.get(learner.id())).learnerSinceMs = nowMs;
    }

    /** Removes the learners that have not replied for the given time; they ask for admission again when they can. */
    void removeSilentLearners(double nowMs, long maxSilenceMs) {
        learners.keySet().removeIf(id -> silentMs(peers.get(id), nowMs) >= maxSilenceMs);
        refresh();
    }

    private static double silentMs(@Nullable PeerProgress peer, double nowMs) {
        return peer == null || !peer.isSilent() ? 0 : nowMs - peer.silentSinceMs;
    }

    /** Ends the silence of all peers, for a member that sends them no requests any more. */
    void endSilences() {
        peers.values().forEach(PeerProgress::endSilence);
    }

    /** Starts the silences anew, for a process that was suspended and could not receive replies. */
    void restartSilences(double nowMs) {
        peers.values().stream().filter(PeerProgress::isSilent).forEach(peer -> peer.silentSinceMs = nowMs);
    }

    void setLeaving(String memberId) {
        PeerProgress peer = peers.get(memberId);
        if (peer != null) {
            peer.leaving = true;
        }
    }

    List<MemberChangePolicy.Voter> voters(double nowMs) {
        return replica.members().members().stream()
                .map(member -> voter(member, nowMs))
                .toList();
    }

    private MemberChangePolicy.Voter voter(Member member, double nowMs) {
        PeerProgress peer = peers.get(member.id());
        if (peer == null) {
            return new MemberChangePolicy.Voter(member, 0, false, Double.POSITIVE_INFINITY);
        }
        double silentMs = silentMs(peer, nowMs);
        // A member that was restarted meanwhile replies to the first request.
        boolean leaving = peer.leaving && silentMs >= settings.requestTimeoutMs();
        return new MemberChangePolicy.Voter(member, silentMs, leaving, peer.ackedSentAtMs);
    }

    List<MemberChangePolicy.Learner> learners() {
        return learners.keySet().stream()
                .map(peers::get)
                .filter(Objects::nonNull)
                .map(peer -> new MemberChangePolicy.Learner(
                        peer.member,
                        !peer.unresponsive && peer.matchIndex >= replica.commitIndex(),
                        peer.learnerSinceMs))
                .toList();
    }

    void clearLearners() {
        learners.clear();
        refresh();
    }

    List<Member> members() {
        return peers.values().stream().map(peer -> peer.member).toList();
    }

    long matchIndex(String memberId) {
        PeerProgress peer = peers.get(memberId);
        return peer == null ? 0 : peer.matchIndex;
    }

    /** Returns whether a responsive peer lacks committed entries. */
    boolean hasLaggingPeer() {
        return peers.values().stream().anyMatch(peer -> !peer.unresponsive && peer.matchIndex < replica.commitIndex());
    }

    Optional<OutgoingRequest> nextRequest(
            String peerId, double nowMs, BiFunction<PeerProgress, Double, Optional<Request>> requests) {
        PeerProgress peer = peers.get(peerId);
        if (peer == null || peer.inFlight) {
            return Optional.empty();
        }
        return requests.apply(peer, nowMs).map(request -> {
            peer.onSent(nowMs);
            return new OutgoingRequest(peer.member, request, peer.sequence, nowMs);
        });
    }

    /** Returns the time until the next heartbeat to a peer; while a request is in flight, the heartbeat interval. */
    long untilHeartbeatMs(String peerId, double nowMs) {
        PeerProgress peer = peers.get(peerId);
        if (peer == null || peer.inFlight) {
            return settings.heartbeatMs();
        }
        return (long) Math.max(1, Math.ceil(peer.sentAtMs + settings.heartbeatMs() - nowMs));
    }

    /** Completes the request in flight to a peer, and returns the peer if the request was still in flight. */
    Optional<PeerProgress> completeRequest(OutgoingRequest outgoing, boolean replied) {
        PeerProgress peer = peers.get(outgoing.peer().id());
        if (peer == null || !peer.inFlight || peer.sequence != outgoing.sequence()) {
            return Optional.empty();
        }
        peer.onCompleted(replied);
        return Optional.of(peer);
    }

    Optional<Request> voteRequest(PeerProgress peer, long electionTerm, boolean preVote) {
        if (peer.voteRequested || !peer.voter) {
            return Optional.empty();
        }
        peer.voteRequested = true;
        long lastIndex = replica.store.lastIndex();
        return Optional.of(new VoteRequest(
                replica.members().groupId(), electionTerm, ownId, lastIndex, replica.store.termAt(lastIndex), preVote));
    }

    Optional<Request> appendRequest(PeerProgress peer, Member leader, double nowMs) {
        boolean heartbeatDue = peer.heartbeatRequested || peer.sentAtMs + settings.heartbeatMs() <= nowMs;
        boolean hasUnsent = peer.nextIndex <= replica.store.lastIndex() || peer.sentCommitIndex < replica.commitIndex();
        if (!heartbeatDue && (peer.unresponsive || !hasUnsent)) {
            return Optional.empty();
        }
        peer.heartbeatRequested = false;
        long term = replica.store.term();
        String groupId = replica.members().groupId();
        if (peer.nextIndex <= replica.store.snapshot().lastIndex()) {
            return Optional.of(snapshotRequest(peer, groupId, term, leader));
        }
        peer.sentCommitIndex = replica.commitIndex();
        long previous = peer.nextIndex - 1;
        return Optional.of(new AppendRequest(
                groupId,
                term,
                leader,
                previous,
                replica.store.termAt(previous),
                replica.commitIndex(),
                peer.unresponsive ? List.of() : batch(peer.nextIndex)));
    }

    private List<LogEntry> batch(long firstIndex) {
        List<LogEntry> entries = new ArrayList<>();
        long sizeBytes = 0;
        for (long index = firstIndex; index <= replica.store.lastIndex(); index++) {
            LogEntry entry = replica.store.entry(index);
            sizeBytes += entry.data().length;
            if (!entries.isEmpty() && sizeBytes > settings.batchBytes()) {
                break;
            }
            entries.add(entry);
        }
        return List.copyOf(entries);
    }

    private SnapshotRequest snapshotRequest(PeerProgress peer, String groupId, long term, Member leader) {
        long lastIndex = replica.store.snapshot().lastIndex();
        byte[] bytes = snapshotBytes;
        if (bytes == null || snapshotBytesIndex != lastIndex) {
            bytes = replica.store.snapshot().toBytes();
            snapshotBytes = bytes;
            snapshotBytesIndex = lastIndex;
        }
        if (peer.snapshotIndex != lastIndex || peer.snapshotOffsetBytes > bytes.length) {
            peer.snapshotIndex = lastIndex;
            peer.snapshotOffsetBytes = 0;
        }
        int from = (int) peer.snapshotOffsetBytes;
        int to = Math.min(bytes.length, from + settings.batchBytes());
        byte[] chunk = Arrays.copyOfRange(bytes, from, to);
        return new SnapshotRequest(groupId, term, leader, lastIndex, from, chunk, to == bytes.length);
    }

    /** Updates the progress of a peer by its reply to an append request or a snapshot chunk. */
    void recordReply(PeerProgress peer, OutgoingRequest outgoing, Reply reply) {
        peer.ackedSentAtMs = Math.max(peer.ackedSentAtMs, outgoing.sentAtMs());
        if (reply instanceof AppendReply append && append.success()) {
            peer.matchIndex = Math.max(peer.matchIndex, append.index());
            peer.nextIndex = peer.matchIndex + 1;
        } else if (reply instanceof AppendReply append) {
            long lower = Math.min(peer.nextIndex - 1, append.index() + 1);
            peer.nextIndex = Math.max(peer.matchIndex + 1, lower);
        } else if (reply instanceof SnapshotReply snapshot) {
            peer.snapshotOffsetBytes = snapshot.nextOffsetBytes();
            if (snapshot.installed() && outgoing.request() instanceof SnapshotRequest sent) {
                peer.matchIndex = Math.max(peer.matchIndex, sent.lastIndex());
                peer.nextIndex = peer.matchIndex + 1;
            }
        }
    }

    /** Returns the highest index that a majority of the members has stored. */
    long majorityMatchIndex() {
        List<Long> indexes = new ArrayList<>();
        for (Member member : replica.members().members()) {
            boolean own = member.id().equals(ownId);
            indexes.add(own ? replica.store.lastIndex() : matchIndex(member.id()));
        }
        indexes.sort(Collections.reverseOrder());
        return indexes.isEmpty() ? 0 : indexes.get(replica.members().majority() - 1);
    }

    /** Requests a heartbeat to every peer at once, so that a majority can confirm that this member still leads. */
    void requestHeartbeats() {
        peers.values().forEach(peer -> peer.heartbeatRequested = true);
    }

    /** Returns the latest time such that a majority of the members acknowledged a request created at or after it. */
    double majorityAckedSentAtMs(double nowMs) {
        List<Double> times = new ArrayList<>();
        for (Member member : replica.members().members()) {
            PeerProgress peer = peers.get(member.id());
            times.add(peer == null ? nowMs : peer.ackedSentAtMs);
        }
        times.sort(Collections.reverseOrder());
        return times.isEmpty()
                ? Double.NEGATIVE_INFINITY
                : times.get(replica.members().majority() - 1);
    }
}
