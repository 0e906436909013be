package org.sequoianotch.control.group;

import static com.google.common.truth.Truth.assertThat;
import static org.sequoianotch.control.state.SampleTemplates.change;

import io.vavr.control.Either;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.control.group.GroupMessage.AppendReply;
import org.sequoianotch.control.group.GroupMessage.Declined;
import org.sequoianotch.control.group.GroupMessage.VoteReply;
import org.sequoianotch.control.group.GroupMessage.VoteRequest;
import org.sequoianotch.control.group.GroupSimulation.Host;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.log.LogEntry;
import org.sequoianotch.control.log.MemberStore;
import org.sequoianotch.control.log.MemoryFolder;
import org.sequoianotch.control.state.ChangeResult.Accepted;
import org.sequoianotch.control.state.ReplicatedState;
import org.sequoianotch.control.state.TemplateState;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.time.ManualClock;

/**
 * Guards the guarantees of the group (no accepted change is lost, one leader per lease, no stale reads) under each
 * single failure that the design page lists: an isolated, suspended, restarted or removed member, a failed sync, a lost
 * disk.
 */
final class GroupFailureTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 7})
    void changeReachesEveryMember(int size) {
        GroupSimulation group = new GroupSimulation(size, 1);

        assertThat(group.submitWithRetries(change("c1", "ana", 1_000, 0))).isEqualTo(new Accepted(1));

        group.run(200);
        for (Host host : group.hosts) {
            assertThat(host.state.revision()).isEqualTo(1);
        }
    }

    /**
     * An isolated leader does not know of a new election; its lease must expire before another leader accepts changes.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void isolatedLeaderServesNothingOnceAnotherLeads(long seed) {
        GroupSimulation group = new GroupSimulation(3, seed);
        group.submitWithRetries(change("c1", "ana", 1_000, 0));
        Host oldLeader = group.awaitLeader();
        group.isolate(oldLeader, true);
        CompletableFuture<Either<Failure, byte[]>> uncommitted = oldLeader.propose(change("lost", "ana", 1_100, 1));

        long stepsWithTwoLeaders = 0;
        for (int i = 0; i < 400; i++) {
            group.step();
            boolean otherServes = group.hosts.stream()
                    .anyMatch(host -> host != oldLeader
                            && host.raft.readCurrent(host.state::revision).isRight());
            boolean oldLeaderServes =
                    oldLeader.raft.readCurrent(oldLeader.state::revision).isRight();
            stepsWithTwoLeaders += otherServes && oldLeaderServes ? 1 : 0;
        }

        assertThat(stepsWithTwoLeaders).isEqualTo(0);
        assertThat(oldLeader.raft.status().role()).isNotEqualTo(Role.LEADER);
        assertThat(oldLeader.propose(change("c2", "ana", 1_200, 1)).join().isLeft())
                .isTrue();
        assertThat(uncommitted.join().getLeft().provesNotRun()).isFalse();
        assertThat(group.submitWithRetries(change("c3", "ben", 1_300, 1))).isEqualTo(new Accepted(2));
        group.isolate(oldLeader, false);
        group.run(1_000);
        assertThat(oldLeader.state.revision()).isEqualTo(2);
        assertThat(oldLeader.state.audit(1).get(0).changeId()).isEqualTo("c3");
    }

    /** A member that reconnects after isolation must not force an election in a working group. */
    @Test
    void reconnectedMemberDoesNotDisruptTheLeader() {
        GroupSimulation group = new GroupSimulation(3, 7);
        Host leader = group.awaitLeader();
        Host isolated =
                group.hosts.stream().filter(host -> host != leader).findFirst().orElseThrow();
        long term = leader.raft.status().term();
        group.isolate(isolated, true);
        group.run(5_000);
        group.isolate(isolated, false);
        group.run(2_000);

        assertThat(leader.raft.status().role()).isEqualTo(Role.LEADER);
        assertThat(leader.raft.status().term()).isEqualTo(term);
        assertThat(isolated.raft.status().leader()).hasValue(leader.member());
    }

    /** The old identity has voted and acknowledged entries; a host with an empty disk has neither on record. */
    @Test
    void hostWithAnEmptyDiskCannotVoteUnderItsOldIdentity() {
        GroupSimulation group = new GroupSimulation(3, 3);
        group.submitWithRetries(change("c1", "ana", 1_000, 0));
        Host leader = group.awaitLeader();
        Host lost =
                group.hosts.stream().filter(host -> host != leader).findFirst().orElseThrow();
        Host third = group.hosts.stream()
                .filter(host -> host != leader && host != lost)
                .findFirst()
                .orElseThrow();
        String oldId = lost.member().id();
        lost.stop();
        lost.startWithEmptyDisk();
        leader.stop();

        group.run(5_000);

        assertThat(group.leader()).isEmpty();
        assertThat(third.raft.status().role()).isNotEqualTo(Role.LEADER);
        VoteRequest request = new VoteRequest("group", 99, third.member().id(), 99, 99, false);
        assertThat(lost.raft.handle(oldId, request)).isInstanceOf(Declined.class);
        assertThat(third.raft.handle(third.member().id(), new VoteRequest("other", 99, "x", 99, 99, false)))
                .isInstanceOf(Declined.class);
        leader.start();
        group.admit(lost);
        assertThat(lost.state.revision()).isEqualTo(1);
    }

    /** With three members, a second disk loss right after the first host was readmitted must not lose a change. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void secondDiskLossAfterReadmissionLosesNoAcceptedChange(long seed) {
        GroupSimulation group = new GroupSimulation(3, seed);
        for (int i = 0; i < 40; i++) {
            assertThat(group.submitWithRetries(change("c" + i, "ana", 1_000 + i, i)))
                    .isEqualTo(new Accepted(i + 1));
        }
        Host first = group.hosts.get((int) seed % 3);
        first.stop();
        group.submitWithRetries(change("c40", "ana", 1_040, 40));
        first.startWithEmptyDisk();
        group.admit(first);
        Host second = group.hosts.get((int) (seed + 1) % 3);
        second.stop();

        assertThat(group.submitWithRetries(change("c41", "ana", 1_041, 41))).isEqualTo(new Accepted(42));
        assertThat(first.state.revision()).isAtLeast(41);
        second.startWithEmptyDisk();
        group.admit(second);
        group.run(500);
        assertThat(second.state.snapshot()).isEqualTo(first.state.snapshot());
    }

    /** After a failed sync the content of the disk is unknown; the member must not vote or acknowledge from memory. */
    @Test
    void memberWithAFailedSyncDeclinesRequestsUntilItIsRestarted() {
        GroupSimulation group = new GroupSimulation(3, 5);
        Host leader = group.awaitLeader();
        leader.folder.losePower(0, 0.5);
        CompletableFuture<Either<Failure, byte[]>> result = leader.propose(change("c1", "ana", 1_000, 0));

        assertThat(result.join().getLeft().provesNotRun()).isFalse();
        assertThat(leader.raft.status().fault()).contains("cannot be synced");
        VoteRequest request = new VoteRequest("group", 99, "x", 99, 99, false);
        assertThat(leader.raft.handle(leader.member().id(), request)).isInstanceOf(Declined.class);
        assertThat(group.submitWithRetries(change("c1", "ana", 1_000, 0))).isEqualTo(new Accepted(1));
        leader.stop();
        leader.start();
        group.run(1_000);
        assertThat(leader.state.revision()).isEqualTo(1);
    }

    /** A leader's lease may rely on a reply that a member sent before its restart. */
    @Test
    void restartedMemberRefusesVotesForAnElectionTimeout() {
        GroupSimulation group = new GroupSimulation(3, 6);
        Host leader = group.awaitLeader();
        Host other =
                group.hosts.stream().filter(host -> host != leader).findFirst().orElseThrow();
        other.stop();
        other.start();
        VoteRequest request = new VoteRequest("group", 99, "host-9.1", 99, 99, false);

        assertThat(((VoteReply) other.raft.handle(other.member().id(), request)).granted())
                .isFalse();
        group.isolate(other, true);
        group.run(GroupSimulation.SETTINGS.electionTimeoutMs() + 20);
        assertThat(((VoteReply) other.raft.handle(other.member().id(), request)).granted())
                .isTrue();
    }

    @Test
    void concurrentMemberChangesAreRefused() {
        GroupSimulation group = new GroupSimulation(5, 8);
        Host leader = group.awaitLeader();
        String[] others = group.hosts.stream()
                .filter(host -> host != leader)
                .map(host -> host.member().id())
                .toArray(String[]::new);

        CompletableFuture<Either<Failure, byte[]>> first = leader.raft.changeMembers(null, others[0]);
        CompletableFuture<Either<Failure, byte[]>> second = leader.raft.changeMembers(null, others[1]);

        assertThat(second.join().getLeft().detail()).contains("not committed yet");
        group.run(500);
        assertThat(first.join().isRight()).isTrue();
        assertThat(leader.raft.changeMembers(leader.member(), others[1]).join().isLeft())
                .isTrue();
    }

    @Test
    void leaderThatRemovesItselfStepsDown() {
        GroupSimulation group = new GroupSimulation(3, 9);
        Host leader = group.awaitLeader();
        CompletableFuture<Either<Failure, byte[]>> removed =
                leader.raft.changeMembers(null, leader.member().id());
        group.run(2_000);

        assertThat(removed.join().isRight()).isTrue();
        assertThat(leader.raft.status().role()).isEqualTo(Role.FOLLOWER);
        assertThat(group.submitWithRetries(change("c1", "ana", 1_000, 0))).isEqualTo(new Accepted(1));
    }

    /** A suspended process resumes after another leader was elected; it must check the time before it serves a read. */
    @Test
    void suspendedLeaderServesNothingAfterItsLeaseExpired() {
        GroupSimulation group = new GroupSimulation(3, 10);
        Host leader = group.awaitLeader();
        assertThat(leader.raft.readCurrent(leader.state::revision).isRight()).isTrue();

        group.clock.advance(GroupSimulation.SETTINGS.electionTimeoutMs());

        assertThat(leader.raft.readCurrent(leader.state::revision).isLeft()).isTrue();
        assertThat(leader.propose(change("c1", "ana", 1_000, 0)).join().isLeft())
                .isTrue();
    }

    /** A host that has not caught up would count towards a majority without having the entries of that majority. */
    @Test
    void laggingHostDoesNotBecomeAMember() {
        GroupSimulation group = new GroupSimulation(3, 11);
        Host leader = group.awaitLeader();
        Member newMember = new Member("host-9.1", HostId.of("host-9"), "0");
        leader.raft.addLearner(newMember);

        CompletableFuture<Either<Failure, byte[]>> result = leader.raft.changeMembers(newMember, "");

        assertThat(result.isDone()).isTrue();
        assertThat(result.join().getLeft().detail()).contains("has not caught up");
    }

    /**
     * An entry of an earlier term on a majority may still be overwritten, so it is not committed by its replicas alone.
     */
    @Test
    void entryOfAnEarlierTermIsCommittedOnlyWithOneOfTheCurrentTerm() {
        ManualClock clock = ManualClock.startingAt(0);
        Member own = new Member("a.1", HostId.of("a"), "a");
        Member peer = new Member("b.1", HostId.of("b"), "b");
        MemberSet members = new MemberSet("group", List.of(own, peer, new Member("c.1", HostId.of("c"), "c")));
        MemberStore store = MemberStore.open(new MemoryFolder(), own.id());
        store.append(List.of(
                new LogEntry(1, 0, EntryKind.MEMBERS, members.toBytes()),
                new LogEntry(2, 1, EntryKind.NO_OP, new byte[0])));
        store.saveVote(1, "");
        RaftMember raft = new RaftMember(
                store, new ReplicatedState(new TemplateState()), GroupSimulation.SETTINGS, clock, new Random(1));
        clock.advance(1_000);
        raft.tick();
        raft.onReply(raft.nextRequest(peer.id()).orElseThrow(), new VoteReply(1, true));
        raft.onReply(raft.nextRequest(peer.id()).orElseThrow(), new VoteReply(2, true));
        assertThat(raft.status().role()).isEqualTo(Role.LEADER);

        raft.onReply(raft.nextRequest(peer.id()).orElseThrow(), new AppendReply(2, true, 2));
        assertThat(raft.status().commitIndex()).isEqualTo(0);
        raft.onReply(raft.nextRequest(peer.id()).orElseThrow(), new AppendReply(2, true, 3));
        assertThat(raft.status().commitIndex()).isEqualTo(3);
    }
}
