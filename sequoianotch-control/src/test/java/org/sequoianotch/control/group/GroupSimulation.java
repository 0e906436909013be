package org.sequoianotch.control.group;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.codec.Encoder;
import org.sequoianotch.control.log.EntryKind;
import org.sequoianotch.control.log.MemberStore;
import org.sequoianotch.control.log.MemoryFolder;
import org.sequoianotch.control.log.StorageException;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.ChangeResult;
import org.sequoianotch.control.state.Departure;
import org.sequoianotch.control.state.DepartureRecords;
import org.sequoianotch.control.state.ReplicatedState;
import org.sequoianotch.control.state.TemplateState;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.time.ManualClock;

/** Single-threaded simulation of a group, with a manual clock and message loss, delay, duplication and partitions. */
final class GroupSimulation {
    static final long STEP_MS = 5;
    static final GroupSettings SETTINGS = new GroupSettings(200, 40, 80, 15, 600);

    /** A host with its disk and its running member. */
    final class Host {
        final HostId id;
        final String address;
        MemoryFolder folder = new MemoryFolder();
        TemplateState state = new TemplateState();
        DepartureRecords departures = new DepartureRecords();
        RaftMember raft;
        boolean up = true;
        /** Whether the process is suspended; what arrives meanwhile is handled afterwards. */
        boolean suspended;
        /** Whether the machine has power while the process is down, so that connections are refused at once. */
        boolean refusesConnections;

        boolean retired;
        /** Number of starts that discarded a data folder as corrupt. */
        int discardedFolders;

        int run;
        private double joinDueAtMs;
        private double contactAtMs;

        Host(int number) {
            id = HostId.of("host-" + number);
            address = String.valueOf(number);
            raft = open();
        }

        private RaftMember open() {
            run++;
            state = new TemplateState();
            ReplicatedState replicated = new ReplicatedState(state);
            departures = replicated.departures();
            return new RaftMember(openStore(id + "." + run), replicated, SETTINGS, clock, random);
        }

        /** Opens the store like a control host of an open group. */
        private MemberStore openStore(String newId) {
            try {
                return MemberStore.open(folder, newId);
            } catch (StorageException e) {
                if (!e.isCorruption()) {
                    throw e;
                }
                discardedFolders++;
                MemberStore.discard(folder);
                return MemberStore.open(folder, newId);
            }
        }

        Member member() {
            return new Member(raft.status().memberId(), id, address);
        }

        void stop() {
            up = false;
            raft.stop();
        }

        void start() {
            folder.restorePower();
            raft = open();
            up = true;
        }

        /** Makes the next write the one that a power loss interrupts; to be followed by {@link #stop}. */
        void losePowerDuringNextWrite() {
            folder.losePower(0, random);
        }

        void startWithEmptyDisk() {
            folder = new MemoryFolder();
            start();
        }

        /** Stops in an orderly way, which the other hosts are told of. */
        void stopWithNotice() {
            GroupStatus last = raft.status();
            stop();
            for (Host other : hosts) {
                schedule(delayMs(), () -> {
                    if (other.up && isDelivered(this, other)) {
                        other.raft.onMemberLeaving(last.memberId(), last.term());
                    }
                });
            }
        }

        /** Asks all hosts for admission while this one has no vote or no contact, like a control host. */
        private void requestAdmission() {
            GroupStatus status = raft.status();
            double nowMs = clock.monotonicMs();
            contactAtMs = status.inContact() ? nowMs : contactAtMs;
            boolean lostContact = nowMs - contactAtMs > 3 * SETTINGS.electionTimeoutMs();
            if (nowMs < joinDueAtMs || raft.isVoter() && !lostContact || status.inContact()) {
                return;
            }
            joinDueAtMs = nowMs + SETTINGS.electionTimeoutMs() / 2.0;
            Member member = member();
            for (Host other : hosts) {
                schedule(delayMs(), () -> {
                    if (other != this && other.up && !other.suspended && isDelivered(this, other)) {
                        other.raft.addLearner(member);
                    }
                });
            }
        }

        boolean isLeader() {
            return up && raft.status().role() == Role.LEADER;
        }

        CompletableFuture<Either<Failure, byte[]>> propose(HostId ofHost, Departure departure) {
            return raft.propose(
                    EntryKind.DEPARTURE, () -> Either.right(DepartureRecords.encodeEntry(ofHost, departure)));
        }

        CompletableFuture<Either<Failure, byte[]>> propose(ChangeRequest request) {
            return raft.propose(EntryKind.CHANGE, () -> state.check(request)
                    .<Either<byte[], byte[]>>map(result -> Either.left(result.toBytes()))
                    .orElseGet(() -> Either.right(TemplateState.encodeEntry(request, clock.nowMs()))));
        }
    }

    /** Submits an entry at a leader until it is acknowledged, like a node that repeats its request. */
    void recordWithRetries(HostId ofHost, Departure departure) {
        submitWithRetries("departure of " + departure.instanceId(), leader -> leader.propose(ofHost, departure));
    }

    private record Event(double atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    final ManualClock clock = ManualClock.startingAt(1_000_000);
    final Random random;
    final List<Host> hosts = new ArrayList<>();
    final Set<String> cutLinks = new HashSet<>();
    final Map<Long, String> leaderOfTerm = new HashMap<>();
    double lossRate;
    double repeatRate;
    long maxDelayMs = 5;
    /** Decides the membership changes of the leader; null for a group with fixed members. */
    @Nullable
    MemberChangePolicy policy;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long eventNumber;

    GroupSimulation(int size, long seed) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            hosts.add(new Host(i));
        }
        List<Member> founders = hosts.stream().map(Host::member).toList();
        hosts.get(0).raft.form(new MemberSet("group", founders));
    }

    /** Starts a host with an empty disk that the group does not know. */
    Host startNewHost() {
        Host host = new Host(hosts.size());
        hosts.add(host);
        return host;
    }

    /** Removes a host for good. Its messages in flight still arrive. */
    void retire(Host host) {
        host.stop();
        host.retired = true;
    }

    /** Returns the hosts that were not removed for good. */
    List<Host> presentHosts() {
        return hosts.stream().filter(host -> !host.retired).toList();
    }

    /** Cuts or restores the links between a host and all others, in both directions. */
    void isolate(Host host, boolean cut) {
        for (Host other : hosts) {
            setLink(host, other, cut);
            setLink(other, host, cut);
        }
    }

    void setLink(Host from, Host to, boolean cut) {
        String link = from.address + ">" + to.address;
        if (cut) {
            cutLinks.add(link);
        } else {
            cutLinks.remove(link);
        }
    }

    void run(long durationMs) {
        for (long passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
            step();
        }
    }

    void step() {
        clock.advance(STEP_MS);
        while (!events.isEmpty() && events.peek().atMs <= clock.monotonicMs()) {
            events.poll().action.run();
        }
        for (Host host : hosts) {
            if (host.up && !host.suspended) {
                host.raft.tick();
                if (policy != null) {
                    host.raft.changeMembers(policy);
                    host.requestAdmission();
                }
                host.raft
                        .peers()
                        .forEach(peer -> host.raft.nextRequest(peer.id()).ifPresent(outgoing -> send(host, outgoing)));
                checkOneLeaderPerTerm(host);
            }
        }
    }

    private void checkOneLeaderPerTerm(Host host) {
        GroupStatus status = host.raft.status();
        if (status.role() == Role.LEADER) {
            String first = leaderOfTerm.putIfAbsent(status.term(), status.memberId());
            if (first != null && !first.equals(status.memberId())) {
                throw new AssertionError("term " + status.term() + " has two leaders");
            }
        }
    }

    void schedule(double delayMs, Runnable action) {
        events.add(new Event(clock.monotonicMs() + delayMs, eventNumber++, action));
    }

    private void send(Host from, OutgoingRequest outgoing) {
        RaftMember sender = from.raft;
        Host to = hosts.get(Integer.parseInt(outgoing.peer().address()));
        schedule(SETTINGS.requestTimeoutMs(), () -> sender.onRequestFailed(outgoing));
        if (!to.up && to.refusesConnections) {
            schedule(delayMs(), () -> sender.onRequestFailed(outgoing));
            return;
        }
        int copies = random.nextDouble() < repeatRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (isDelivered(from, to)) {
                schedule(delayMs(), () -> deliver(from, sender, to, outgoing));
            }
        }
    }

    private void deliver(Host from, RaftMember sender, Host to, OutgoingRequest outgoing) {
        if (!to.up) {
            return;
        }
        if (to.suspended) {
            schedule(STEP_MS, () -> deliver(from, sender, to, outgoing));
            return;
        }
        GroupMessage.Request request = (GroupMessage.Request) copyOf(outgoing.request());
        GroupMessage.Reply reply =
                (GroupMessage.Reply) copyOf(to.raft.handle(outgoing.peer().id(), request));
        if (isDelivered(to, from)) {
            schedule(delayMs(), () -> sender.onReply(outgoing, reply));
        }
    }

    private static GroupMessage copyOf(GroupMessage message) {
        Encoder encoder = new Encoder();
        message.encode(encoder);
        return GroupMessage.decode(new Decoder(encoder.toBytes()));
    }

    private boolean isDelivered(Host from, Host to) {
        return !cutLinks.contains(from.address + ">" + to.address) && random.nextDouble() >= lossRate;
    }

    private double delayMs() {
        // One message in twenty is delayed by up to five election timeouts.
        return random.nextInt(20) == 0 && maxDelayMs > 50
                ? random.nextDouble() * 1_000
                : random.nextDouble() * maxDelayMs;
    }

    Optional<Host> leader() {
        return hosts.stream()
                .filter(host -> host.isLeader() && host.raft.status().inContact())
                .findFirst();
    }

    Host awaitLeader() {
        for (int i = 0; i < 4_000 && leader().isEmpty(); i++) {
            step();
        }
        return leader().orElseThrow(() -> new AssertionError("no leader within 20 s"));
    }

    /** Submits a change, and resends it after a lost response until there is a result, as an operator does. */
    ChangeResult submitWithRetries(ChangeRequest request) {
        return ChangeResult.of(submitWithRetries("change " + request.changeId(), leader -> leader.propose(request)));
    }

    private byte[] submitWithRetries(String what, Function<Host, CompletableFuture<Either<Failure, byte[]>>> proposal) {
        for (int attempt = 0; attempt < 20; attempt++) {
            CompletableFuture<Either<Failure, byte[]>> result = proposal.apply(awaitLeader());
            for (int i = 0; i < 400 && !result.isDone(); i++) {
                step();
            }
            if (result.isDone() && result.join().isRight()) {
                return result.join().get();
            }
        }
        throw new AssertionError(what + " got no result in 20 attempts");
    }

    /** Admits a host that restarted with an empty disk: its old identity is removed and the new one added. */
    void admit(Host host) {
        Member newMember = host.member();
        for (int attempt = 0; attempt < 4_000; attempt++) {
            Optional<Host> leader = leader();
            leader.ifPresent(found -> admissionStep(found.raft, newMember));
            step();
            if (leader.isPresent() && isAdmitted(leader.get().raft.status(), host.raft.status())) {
                return;
            }
        }
        throw new AssertionError(newMember + " was not admitted within 20 s");
    }

    /** Returns whether the new member was added by an entry that is committed at the leader and at the new member. */
    static boolean isAdmitted(GroupStatus leader, GroupStatus newMember) {
        return newMember.members().member(newMember.memberId()).isPresent()
                && newMember.commitIndex() == leader.lastIndex()
                && leader.commitIndex() == leader.lastIndex();
    }

    static void admissionStep(RaftMember leader, Member newMember) {
        MemberSet members = leader.status().members();
        if (members.member(newMember.id()).isPresent()) {
            return;
        }
        leader.addLearner(newMember);
        if (leader.hasCaughtUp(newMember.id())) {
            Optional<Member> old = members.memberOf(newMember.host());
            if (old.isPresent()) {
                leader.changeMembers(null, old.get().id());
            } else {
                leader.changeMembers(newMember, "");
            }
        }
    }
}
