package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.control.Question.HelloAnswer;
import org.sequoianotch.control.group.Member;
import org.sequoianotch.control.group.MemberSet;
import org.sequoianotch.control.group.RaftMember;
import org.sequoianotch.control.group.Role;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.Asker;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * Forms the group, and admits and removes members.
 *
 * <p>A new group is formed by the control host with the lowest id, once every control host has answered that it belongs
 * to no group and has the same list of hosts. A host with an empty folder that finds a group asks to be admitted. Then
 * its old identity is removed, and the new one is added after it has caught up.
 */
final class Admission {
    private static final Logger LOGGER = LogManager.getLogger(Admission.class);
    private static final long CATCH_UP_CHECK_MS = 20;

    private final ControlGroupOptions options;
    private final ControlDirectory directory;
    private final RaftMember raft;
    private final Asker asker;
    private final Clock clock;
    private final AtomicBoolean changing = new AtomicBoolean();

    Admission(ControlGroupOptions options, ControlDirectory directory, RaftMember raft, Asker asker, Clock clock) {
        this.options = options;
        this.directory = directory;
        this.raft = raft;
        this.asker = asker;
        this.clock = clock;
    }

    HelloAnswer hello() {
        return new HelloAnswer(
                self(), raft.isFormed(), options.formation().founderAddresses().toString());
    }

    private Member self() {
        return new Member(raft.status().memberId(), options.host(), options.ownAddress());
    }

    /** One attempt of a host that is no member, or does not hear of its group, to form a group or to be admitted. */
    void formOrJoin() {
        SortedSet<String> addresses = new TreeSet<>(options.formation().founderAddresses());
        addresses.addAll(directory.hosts().values());
        addresses.remove(options.ownAddress());
        SortedMap<String, HelloAnswer> answers = new TreeMap<>();
        for (String address : addresses) {
            ask(address, new Question.Hello()).map(HelloAnswer::of).peek(answer -> answers.put(address, answer));
        }
        List<String> formed = answers.entrySet().stream()
                .filter(entry -> entry.getValue().formed())
                .map(Map.Entry::getKey)
                .toList();
        if (!formed.isEmpty()) {
            Member self = self();
            Question join = new Question.Join(self.id(), self.host(), self.address());
            formed.forEach(address -> ask(address, join));
        } else if (!raft.isFormed() && mayForm(answers)) {
            MemberSet founders = new MemberSet(UUID.randomUUID().toString(), List.of(self()));
            for (String address : options.formation().founderAddresses()) {
                HelloAnswer answer = answers.get(address);
                if (answer != null) {
                    founders = founders.plus(answer.member());
                }
            }
            raft.form(founders);
        }
    }

    private boolean mayForm(Map<String, HelloAnswer> answers) {
        List<String> founders = options.formation().founderAddresses();
        boolean first = founders.getFirst().equals(options.ownAddress());
        boolean complete = founders.stream()
                .allMatch(address -> address.equals(options.ownAddress()) || answers.containsKey(address));
        return options.formation().founding()
                && first
                && complete
                && founders.stream()
                        .filter(answers::containsKey)
                        .allMatch(address -> answers.get(address).hosts().equals(founders.toString()));
    }

    /** Takes a request to join, and carries it out in the background as the leader. */
    Either<Failure, byte[]> join(HostId from, Question.Join join) {
        if (!from.equals(join.host()) || !directory.hosts().containsKey(from)) {
            return Either.left(
                    Failure.of(ErrorKind.BAD_REQUEST, "Host " + from + " is not one of the known control hosts."));
        }
        Member newcomer = new Member(join.memberId(), join.host(), join.address());
        return raft.readCurrent(() -> raft.status().members()).flatMap(members -> {
            boolean known = members.member(newcomer.id()).isPresent();
            boolean room = members.members().size() < options.formation().maxVoters()
                    || members.memberOf(newcomer.host()).isPresent();
            if (!known && room && changing.compareAndSet(false, true)) {
                TaskThreads.start("control-admission", () -> {
                    try {
                        admit(newcomer)
                                .peek(done -> LOGGER.info("[control] Admitted {}.", newcomer))
                                .peekLeft(failure ->
                                        LOGGER.warn("[control] {} was not admitted: {}", newcomer, failure.detail()));
                    } finally {
                        changing.set(false);
                    }
                });
            }
            return Either.right(new byte[0]);
        });
    }

    /** Adds the present identity of a host as the leader. */
    Either<Failure, byte[]> add(HostId host, String address) {
        return exclusively(() -> ask(address, new Question.Hello())
                .map(HelloAnswer::of)
                .flatMap(answer -> answer.member().host().equals(host)
                        ? admit(new Member(answer.member().id(), host, address))
                        : Either.left(ControlError.MEMBERS_NOT_CHANGED.failure(
                                "The address belongs to host " + answer.member().host() + "."))));
    }

    /** Removes the member of a host as the leader. */
    Either<Failure, byte[]> remove(HostId host) {
        return exclusively(() -> {
            Optional<Member> member = raft.status().members().memberOf(host);
            return member.isEmpty()
                    ? Either.left(
                            ControlError.MEMBERS_NOT_CHANGED.failure("Host " + host + " has no member in the group."))
                    : Waiting.answer(raft.changeMembers(null, member.get().id()), options.changeTimeoutMs());
        });
    }

    /** Removes a member that is gone for good, as the leader, if enough members are left without it. */
    void removeSilent() {
        GroupFormation formation = options.formation();
        if (formation.removeSilentAfterMs() == 0
                || raft.status().members().members().size() <= formation.minVoters()) {
            return;
        }
        raft.silentVoter(formation.removeSilentAfterMs()).ifPresent(silent -> remove(silent.host())
                .peek(done -> LOGGER.info(
                        "[control] Removed {}, which had not answered for {} ms.",
                        silent,
                        formation.removeSilentAfterMs()))
                .peekLeft(failure -> LOGGER.warn("[control] {} could not be removed: {}", silent, failure.detail())));
    }

    private interface MemberChange {
        Either<Failure, byte[]> run();
    }

    private Either<Failure, byte[]> exclusively(MemberChange change) {
        if (!changing.compareAndSet(false, true)) {
            return Either.left(
                    ControlError.MEMBERS_NOT_CHANGED.failure("Another change of the members is in progress."));
        }
        try {
            return change.run();
        } finally {
            changing.set(false);
        }
    }

    private Either<Failure, byte[]> admit(Member newcomer) {
        if (raft.status().members().member(newcomer.id()).isPresent()) {
            return Either.right(new byte[0]);
        }
        Either<Failure, Boolean> caughtUp = raft.addLearner(newcomer).flatMap(added -> awaitCaughtUp(newcomer));
        if (caughtUp.isLeft()) {
            return Either.left(caughtUp.getLeft());
        }
        Optional<Member> old = raft.status().members().memberOf(newcomer.host());
        if (old.isPresent()) {
            Either<Failure, byte[]> removed =
                    Waiting.answer(raft.changeMembers(null, old.get().id()), options.changeTimeoutMs());
            if (removed.isLeft()) {
                return removed;
            }
        }
        return Waiting.answer(raft.changeMembers(newcomer, ""), options.changeTimeoutMs());
    }

    private Either<Failure, Boolean> awaitCaughtUp(Member newcomer) {
        double endMs = clock.monotonicMs() + options.admissionTimeoutMs();
        try {
            while (clock.monotonicMs() < endMs && raft.status().role() == Role.LEADER) {
                if (raft.hasCaughtUp(newcomer.id())) {
                    return Either.right(true);
                }
                clock.sleep(CATCH_UP_CHECK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Either.left(ControlError.MEMBERS_NOT_CHANGED.failure("The new member did not catch up in time."));
    }

    private Either<Failure, byte[]> ask(String address, Question question) {
        return asker.ask(
                        address,
                        Topic.CONTROL,
                        question.toBytes(),
                        options.settings().requestTimeoutMs())
                .flatMap(Question::open);
    }
}
