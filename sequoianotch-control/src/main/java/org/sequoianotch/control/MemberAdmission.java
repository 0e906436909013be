package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.control.ControlRequest.HelloResponse;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.group.MemberChangePolicy;
import org.sequoianotch.control.group.MemberSet;
import org.sequoianotch.control.group.RaftMember;
import org.sequoianotch.control.group.Role;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * Forms the group, and adds and removes members.
 *
 * <p>A founder may form a group if its data folder was created at the first start of the deployment and belongs to no
 * group. The first such founder by host id or address forms the group, once every founder has responded with the same
 * list of founders, none of them belongs to a group, and a majority of them may form one. Each earlier group would have
 * needed that majority to commit anything, and its members would know of it.
 *
 * <p>A host with an empty data folder that finds a group requests admission; {@link MemberChangePolicy} decides when it
 * becomes a voter, and in whose place.
 *
 * <p>This class is thread-safe.
 */
final class MemberAdmission {
    private static final Logger LOGGER = LogManager.getLogger(MemberAdmission.class);
    private static final long CATCH_UP_CHECK_MS = 20;

    private final ControlGroupOptions options;
    private final ControlDirectory directory;
    private final RaftMember raft;
    private final boolean mayFormGroup;
    private final PeerRequester requester;
    private final Clock clock;
    private final MemberChangePolicy policy;
    private final AtomicBoolean memberChangeInProgress = new AtomicBoolean();

    MemberAdmission(
            ControlGroupOptions options,
            ControlDirectory directory,
            RaftMember raft,
            boolean mayFormGroup,
            PeerRequester requester,
            Clock clock) {
        this.options = options;
        this.directory = directory;
        this.raft = raft;
        this.mayFormGroup = mayFormGroup;
        this.requester = requester;
        this.clock = clock;
        this.policy = options.formation().memberChangePolicy(options.settings());
    }

    HelloResponse helloResponse() {
        return new HelloResponse(
                self(),
                raft.isFormed(),
                mayFormGroup,
                options.formation().founderAddresses().toString());
    }

    private Member self() {
        return new Member(raft.status().memberId(), options.host(), options.ownAddress());
    }

    /**
     * Makes one attempt to form a group or to be admitted; for a host that has no vote or lost contact with its group.
     */
    void formOrJoin() {
        SortedSet<String> addresses = new TreeSet<>(options.formation().founderAddresses());
        addresses.addAll(directory.hosts().values());
        addresses.remove(options.ownAddress());
        SortedMap<String, HelloResponse> responses = new TreeMap<>();
        requestAll(addresses, new ControlRequest.Hello())
                .forEach((address, bytes) -> responses.put(address, HelloResponse.of(bytes)));
        List<String> formed = responses.entrySet().stream()
                .filter(entry -> entry.getValue().formed())
                .map(Map.Entry::getKey)
                .toList();
        if (!formed.isEmpty()) {
            Member self = self();
            ControlRequest join = new ControlRequest.Join(self.id(), self.host(), self.address());
            requestAll(formed, join);
        } else if (!raft.isFormed() && mayForm(responses)) {
            MemberSet founders = new MemberSet(UUID.randomUUID().toString(), List.of(self()));
            for (String address : options.formation().founderAddresses()) {
                HelloResponse response = responses.get(address);
                if (response != null) {
                    founders = founders.plus(response.member());
                }
            }
            raft.form(founders);
        }
    }

    private boolean mayForm(Map<String, HelloResponse> responses) {
        List<String> founders = options.formation().founderAddresses();
        int permitted = 0;
        for (String address : founders) {
            boolean isSelf = address.equals(options.ownAddress());
            HelloResponse response = responses.get(address);
            if (!isSelf && (response == null || !response.founders().equals(founders.toString()))) {
                return false;
            }
            boolean mayForm = isSelf ? mayFormGroup : response.mayForm();
            if (mayForm && permitted == 0 && !isSelf) {
                // The first founder that may form the group does.
                return false;
            }
            permitted += mayForm ? 1 : 0;
        }
        return mayFormGroup && permitted > founders.size() / 2;
    }

    /** Handles a request to join: the leader starts to replicate its log to the new member. */
    Either<Failure, byte[]> handleJoin(HostId from, ControlRequest.Join join) {
        // A group that discovers its hosts may hear of a new host by this request first.
        boolean isControlHost =
                options.formation().isOpen() || directory.hosts().containsKey(from);
        if (!from.equals(join.host()) || !isControlHost) {
            return Either.left(Failure.of(
                    ErrorKind.BAD_REQUEST,
                    "Host " + from + " requested admission for host " + join.host()
                            + "; only a known control host may request admission, and only for itself."));
        }
        return raft.addLearner(new Member(join.memberId(), join.host(), join.address()))
                .map(added -> new byte[0]);
    }

    /** Records that a member stops in an orderly way. */
    Either<Failure, byte[]> handleLeave(ControlRequest.Leave leave) {
        LOGGER.info("[control] Member {} announced in term {} that it stops.", leave.memberId(), leave.term());
        raft.onMemberLeaving(leave.memberId(), leave.term());
        return Either.right(new byte[0]);
    }

    /** Tells all other members that this one stops; to be called after it has withdrawn from the group. */
    void announceLeave() {
        ControlRequest leave =
                new ControlRequest.Leave(raft.status().memberId(), raft.status().term());
        requestAll(raft.peers().stream().map(this::currentAddress).toList(), leave);
    }

    private String currentAddress(Member member) {
        return directory.hosts().getOrDefault(member.host(), member.address());
    }

    /** Makes the next membership change that is due, as the leader. */
    void changeMembers() {
        if (!memberChangeInProgress.compareAndSet(false, true)) {
            return;
        }
        try {
            raft.changeMembers(policy)
                    .ifPresent(change -> LOGGER.info(
                            "[control] {} member {} on host {}: {}; the members are {}.",
                            change.isAddition() ? "Adding" : "Removing",
                            change.member().id(),
                            change.member().host(),
                            change.reason(),
                            raft.status().members().members().stream()
                                    .map(Member::id)
                                    .toList()));
        } finally {
            memberChangeInProgress.set(false);
        }
    }

    /** Adds the current identity of a host as the leader. */
    Either<Failure, byte[]> addMember(HostId host, String address) {
        return runExclusively(() -> request(address, new ControlRequest.Hello())
                .map(HelloResponse::of)
                .flatMap(response -> response.member().host().equals(host)
                        ? admit(new Member(response.member().id(), host, address))
                        : Either.left(ControlError.MEMBERS_NOT_CHANGED.failure("Address " + address
                                + " belongs to host " + response.member().host() + ", not to host " + host + "."))));
    }

    /** Removes the member on a host as the leader. */
    Either<Failure, byte[]> removeMember(HostId host) {
        return runExclusively(() -> {
            Optional<Member> member = raft.status().members().memberOf(host);
            return member.isEmpty()
                    ? Either.left(
                            ControlError.MEMBERS_NOT_CHANGED.failure("Host " + host + " has no member in the group."))
                    : ProposalResults.await(
                            raft.changeMembers(null, member.get().id()), options.changeTimeoutMs());
        });
    }

    private interface MemberChange {
        Either<Failure, byte[]> run();
    }

    private Either<Failure, byte[]> runExclusively(MemberChange change) {
        if (!memberChangeInProgress.compareAndSet(false, true)) {
            return Either.left(
                    ControlError.MEMBERS_NOT_CHANGED.failure("Another change of the members is in progress."));
        }
        try {
            return change.run();
        } finally {
            memberChangeInProgress.set(false);
        }
    }

    private Either<Failure, byte[]> admit(Member newMember) {
        if (raft.status().members().member(newMember.id()).isPresent()) {
            return Either.right(new byte[0]);
        }
        Either<Failure, Boolean> caughtUp = raft.addLearner(newMember).flatMap(added -> awaitCaughtUp(newMember));
        if (caughtUp.isLeft()) {
            return Either.left(caughtUp.getLeft());
        }
        Optional<Member> previous = raft.status().members().memberOf(newMember.host());
        if (previous.isPresent()) {
            Either<Failure, byte[]> removed = ProposalResults.await(
                    raft.changeMembers(null, previous.get().id()), options.changeTimeoutMs());
            if (removed.isLeft()) {
                return removed;
            }
        }
        return ProposalResults.await(raft.changeMembers(newMember, ""), options.changeTimeoutMs());
    }

    private Either<Failure, Boolean> awaitCaughtUp(Member newMember) {
        double endMs = clock.monotonicMs() + options.admissionTimeoutMs();
        try {
            while (clock.monotonicMs() < endMs && raft.status().role() == Role.LEADER) {
                if (raft.hasCaughtUp(newMember.id())) {
                    return Either.right(true);
                }
                clock.sleep(CATCH_UP_CHECK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Either.left(ControlError.MEMBERS_NOT_CHANGED.failure(
                "Member " + newMember.id() + " did not catch up within " + options.admissionTimeoutMs() + " ms."));
    }

    /**
     * Sends a request to several hosts at once, so that hosts that are lost delay it by one timeout only.
     *
     * @return the results by address, of the hosts that succeeded
     */
    private SortedMap<String, byte[]> requestAll(Collection<String> addresses, ControlRequest request) {
        SortedMap<String, byte[]> results = new ConcurrentSkipListMap<>();
        List<Thread> tasks = addresses.stream()
                .map(address -> TaskThreads.start("control-request-" + address, () -> request(address, request)
                        .peek(result -> results.put(address, result))))
                .toList();
        try {
            for (Thread task : tasks) {
                task.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new TreeMap<>(results);
    }

    private Either<Failure, byte[]> request(String address, ControlRequest request) {
        return requester
                .request(
                        address,
                        Topic.CONTROL,
                        request.toBytes(),
                        options.settings().requestTimeoutMs())
                .flatMap(ControlRequest::decodeResponse);
    }
}
