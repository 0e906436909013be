package org.sequoianotch.control.group;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoianotch.control.group.GroupMessage.AppendReply;
import org.sequoianotch.control.group.GroupMessage.VoteReply;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.log.LogEntry;
import org.sequoianotch.control.log.MemberStore;
import org.sequoianotch.control.log.MemoryFolder;
import org.sequoianotch.control.state.ReplicatedState;
import org.sequoianotch.control.state.TemplateState;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.time.ManualClock;

/**
 * Guards against a stale read from a leader whose host was suspended. The monotonic clock may not count the time of the
 * suspension, so that the lease appears to be valid although another leader was elected.
 */
@Timeout(20)
final class ConfirmedReadTest {
    private static final long WAIT_MS = 5_000;

    private final ManualClock clock = ManualClock.startingAt(0);
    private final Member peer = new Member("b.1", HostId.of("b"), "b");
    private final RaftMember leader = leader();

    private RaftMember leader() {
        Member own = new Member("a.1", HostId.of("a"), "a");
        MemberSet members = new MemberSet("group", List.of(own, peer, new Member("c.1", HostId.of("c"), "c")));
        MemberStore store = MemberStore.open(new MemoryFolder(), own.id());
        store.append(List.of(new LogEntry(1, 0, EntryKind.MEMBERS, members.toBytes())));
        RaftMember raft = new RaftMember(
                store, new ReplicatedState(new TemplateState()), GroupSimulation.SETTINGS, clock, new Random(1));
        clock.advance(1_000);
        raft.tick();
        raft.onReply(raft.nextRequest(peer.id()).orElseThrow(), new VoteReply(0, true));
        raft.onReply(raft.nextRequest(peer.id()).orElseThrow(), new VoteReply(1, true));
        raft.onReply(raft.nextRequest(peer.id()).orElseThrow(), new AppendReply(1, true, 2));
        assertThat(raft.status().role()).isEqualTo(Role.LEADER);
        return raft;
    }

    private CompletableFuture<Either<Failure, String>> read() throws InterruptedException {
        CompletableFuture<Either<Failure, String>> result = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> result.complete(leader.readConfirmed(() -> "state", WAIT_MS)));
        TimeUnit.MILLISECONDS.sleep(200);
        return result;
    }

    @Test
    void leaseAloneDoesNotConfirmARead() throws Exception {
        assertThat(leader.readCurrent(() -> "state").isRight()).isTrue();

        assertThat(read().isDone()).isFalse();
    }

    @Test
    void replyToALaterHeartbeatConfirmsTheRead() throws Exception {
        CompletableFuture<Either<Failure, String>> result = read();
        clock.advance(1);

        leader.onReply(leader.nextRequest(peer.id()).orElseThrow(), new AppendReply(1, true, 2));

        assertThat(result.get(WAIT_MS, TimeUnit.MILLISECONDS).get()).isEqualTo("state");
    }

    @Test
    void higherTermFailsTheRead() throws Exception {
        CompletableFuture<Either<Failure, String>> result = read();
        clock.advance(1);

        leader.onReply(leader.nextRequest(peer.id()).orElseThrow(), new AppendReply(4, false, 0));

        assertThat(result.get(WAIT_MS, TimeUnit.MILLISECONDS).isLeft()).isTrue();
    }
}
