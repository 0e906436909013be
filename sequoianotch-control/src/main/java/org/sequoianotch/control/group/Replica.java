package org.sequoianotch.control.group;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.group.GroupMessage.AppendReply;
import org.sequoianotch.control.group.GroupMessage.AppendRequest;
import org.sequoianotch.control.group.GroupMessage.VoteRequest;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.log.LogEntry;
import org.sequoianotch.control.log.MemberStore;
import org.sequoianotch.control.log.Snapshot;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.error.Failure;

/** Log, membership and applied state of one member. Guarded by the lock of {@link RaftMember}. */
final class Replica {
    private static final byte[] EMPTY_RESULT = new byte[0];

    final MemberStore store;
    private final StateMachine machine;
    private final TreeMap<Long, CompletableFuture<Either<Failure, byte[]>>> pending = new TreeMap<>();
    private long commitIndex;
    private MemberSet members = MemberSet.EMPTY;
    private long membersIndex;

    Replica(MemberStore store, StateMachine machine) {
        this.store = store;
        this.machine = machine;
        machine.restore(store.snapshot().state());
        commitIndex = store.snapshot().lastIndex();
        refreshMembers();
    }

    long commitIndex() {
        return commitIndex;
    }

    /** Returns the members by the newest membership entry in the log, committed or not. */
    MemberSet members() {
        return members;
    }

    boolean membersCommitted() {
        return membersIndex <= commitIndex;
    }

    long append(long term, EntryKind kind, byte[] data) {
        long index = store.lastIndex() + 1;
        store.append(List.of(new LogEntry(index, term, kind, data)));
        if (kind == EntryKind.MEMBERS) {
            refreshMembers();
        }
        return index;
    }

    CompletableFuture<Either<Failure, byte[]>> appendAndAwait(long term, EntryKind kind, byte[] data) {
        CompletableFuture<Either<Failure, byte[]>> result = new CompletableFuture<>();
        pending.put(append(term, kind, data), result);
        return result;
    }

    /** Returns whether a candidate's log is at least as up to date as this one, as Raft requires for a vote. */
    boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
        long lastTerm = store.termAt(store.lastIndex());
        return otherLastTerm > lastTerm || (otherLastTerm == lastTerm && otherLastIndex >= store.lastIndex());
    }

    /** Grants the vote of the current term to at most one candidate. */
    boolean grantVote(VoteRequest request) {
        String votedFor = store.votedFor();
        if (request.term() != store.term() || !(votedFor.isEmpty() || votedFor.equals(request.candidateId()))) {
            return false;
        }
        if (votedFor.isEmpty()) {
            store.saveVote(store.term(), request.candidateId());
        }
        return true;
    }

    AppendReply acceptEntries(AppendRequest request, long term) {
        long previous = request.previousIndex();
        long snapshotIndex = store.snapshot().lastIndex();
        if (previous > store.lastIndex()) {
            return new AppendReply(term, false, store.lastIndex());
        }
        if (previous >= snapshotIndex && store.termAt(previous) != request.previousTerm()) {
            return new AppendReply(term, false, lastIndexBeforeTermOf(previous));
        }
        List<LogEntry> missing = new ArrayList<>();
        for (LogEntry entry : request.entries()) {
            if (entry.index() <= snapshotIndex) {
                continue;
            }
            if (missing.isEmpty() && entry.index() <= store.lastIndex()) {
                if (store.termAt(entry.index()) == entry.term()) {
                    continue;
                }
                truncateFrom(entry.index());
            }
            missing.add(entry);
        }
        store.append(missing);
        if (!missing.isEmpty()) {
            refreshMembers();
        }
        // Committed entries match the log of every later leader, so the matching index is never below the commit index.
        long matching = Math.max(previous + request.entries().size(), commitIndex);
        commitTo(Math.min(request.commitIndex(), matching));
        return new AppendReply(term, true, matching);
    }

    private long lastIndexBeforeTermOf(long index) {
        long conflictingTerm = store.termAt(index);
        long candidate = index;
        while (candidate > commitIndex && store.termAt(candidate) == conflictingTerm) {
            candidate--;
        }
        return candidate;
    }

    private void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw new IllegalStateException("entry " + index + " conflicts with the leader's log, but entries up to "
                    + commitIndex + " are committed");
        }
        store.truncateFrom(index);
        refreshMembers();
    }

    void commitTo(long index) {
        while (commitIndex < index) {
            LogEntry entry = store.entry(commitIndex + 1);
            byte[] result = entry.kind().isApplied() ? machine.apply(entry.kind(), entry.data()) : EMPTY_RESULT;
            commitIndex++;
            CompletableFuture<Either<Failure, byte[]>> proposalResult = pending.remove(commitIndex);
            if (proposalResult != null) {
                proposalResult.complete(Either.right(result));
            }
        }
    }

    void failPending(String detail) {
        pending.values().forEach(result -> result.complete(Either.left(ControlError.ANSWER_LOST.failure(detail))));
        pending.clear();
    }

    /** Replaces the log up to the commit index by a snapshot if that covers at least the given number of entries. */
    void compact(long minEntries) {
        if (commitIndex - store.snapshot().lastIndex() >= minEntries) {
            MemberSet committed = membersAt(commitIndex);
            store.saveSnapshot(
                    new Snapshot(commitIndex, store.termAt(commitIndex), committed.toBytes(), machine.snapshot()));
        }
    }

    /** Installs a leader's snapshot, unless every entry that it includes is already committed here. */
    void install(Snapshot snapshot) {
        if (snapshot.lastIndex() <= commitIndex) {
            return;
        }
        store.saveSnapshot(snapshot);
        machine.restore(snapshot.state());
        commitIndex = snapshot.lastIndex();
        refreshMembers();
    }

    /** Returns the members after the change of one member, or why the change is refused. */
    Either<Failure, MemberSet> changedMembers(@Nullable Member added, boolean caughtUp, String removedId) {
        if (membersIndex > commitIndex) {
            return Either.left(
                    ControlError.MEMBERS_NOT_CHANGED.failure("Another change of the members is not committed yet."));
        }
        if (!caughtUp) {
            return Either.left(ControlError.MEMBERS_NOT_CHANGED.failure(
                    "The new member has not caught up with the committed entries."));
        }
        MemberSet target = (added == null ? members : members.plus(added)).minus(removedId);
        boolean one = Math.abs(target.members().size() - members.members().size()) == 1;
        return one && !target.members().isEmpty()
                ? Either.right(target)
                : Either.left(ControlError.MEMBERS_NOT_CHANGED.failure(
                        "The change must add or remove exactly one member and leave at least one."));
    }

    private void refreshMembers() {
        membersIndex = membersIndexAt(store.lastIndex());
        members = membersAt(store.lastIndex());
    }

    private MemberSet membersAt(long index) {
        long found = membersIndexAt(index);
        boolean inLog = found > store.snapshot().lastIndex();
        return MemberSet.of(inLog ? store.entry(found).data() : store.snapshot().members());
    }

    private long membersIndexAt(long index) {
        long candidate = index;
        while (candidate > store.snapshot().lastIndex()
                && store.entry(candidate).kind() != EntryKind.MEMBERS) {
            candidate--;
        }
        return candidate;
    }
}
