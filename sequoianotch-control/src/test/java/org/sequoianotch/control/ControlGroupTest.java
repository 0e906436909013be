package org.sequoianotch.control;

import static com.google.common.truth.Truth.assertThat;
import static org.sequoianotch.control.state.SampleTemplates.change;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.control.group.MemberSet;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.ChangeResult;
import org.sequoianotch.control.state.ChangeResult.Accepted;
import org.sequoianotch.control.state.ChangeResult.Refused;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.SystemClock;

/**
 * Guards the control group, with its threads and files, against changes that are lost, applied twice or not read. They
 * come about through lost responses, concurrent changes, restarts, lost disks and isolated or stopped leaders.
 */
final class ControlGroupTest {
    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void groupFormsAndAppliesChangesSubmittedAtAnyMember(int size) {
        try (ControlHosts hosts = new ControlHosts(folder, size)) {
            long revision = 0;
            for (HostId host : List.copyOf(hosts.groups.keySet())) {
                ChangeRequest request = change("c" + host, "ana", 1_000 + revision, revision);
                assertThat(ControlHosts.applyWithRetries(() -> hosts.group(host).apply(request)))
                        .isEqualTo(new Accepted(revision + 1));
                revision++;
                assertThat(hosts.group(host).read().get().revision()).isEqualTo(revision);
            }
            assertThat(hosts.group(hosts.leader()).audit(1).get(0).operator()).isEqualTo("ana");
        }
    }

    /** The change is accepted but the response is lost; the resend must get the result without a second change. */
    @Test
    void resendAfterALostResponseIsNotAppliedTwice() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            ControlGroup follower = hosts.group(hosts.follower());
            hosts.network.hostsLosingChangeResponses.add(hosts.leader().name());
            ChangeRequest request = change("c1", "ana", 1_000, 0);

            Failure lost = follower.apply(request).getLeft();

            assertThat(lost.provesNotRun()).isFalse();
            assertThat(lost.detail()).startsWith(ControlError.ANSWER_LOST.code());
            assertThat(ControlHosts.applyWithRetries(() -> follower.apply(request)))
                    .isEqualTo(new Accepted(1));
            assertThat(follower.read().get().revision()).isEqualTo(1);
        }
    }

    @Test
    void onlyOneOfConcurrentChangesToARevisionIsAccepted() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            hosts.leader();
            List<HostId> names = List.copyOf(hosts.groups.keySet());
            List<ChangeResult> results = IntStream.range(0, 9)
                    .parallel()
                    .mapToObj(i -> hosts.group(names.get(i % 3)).apply(change("c" + i, "operator-" + i, 1_000 + i, 0)))
                    .map(Either::get)
                    .toList();

            assertThat(results.stream().filter(result -> result instanceof Accepted))
                    .hasSize(1);
            String winningChangeId = hosts.group(names.get(0)).audit(1).isEmpty()
                    ? hosts.group(hosts.leader()).audit(1).get(0).changeId()
                    : hosts.group(names.get(0)).audit(1).get(0).changeId();
            for (ChangeResult result : results) {
                if (result instanceof Refused refused) {
                    assertThat(refused.error()).isEqualTo(ControlError.STALE_REVISION);
                    assertThat(refused.detail()).contains("with change " + winningChangeId);
                    assertThat(refused.lines()).isNotEmpty();
                }
            }
        }
    }

    /**
     * An unexpected exception ended the thread that sends to a peer, and the member never sent to that peer again. Once
     * it had happened on every link, no member could lead.
     */
    @Test
    void groupSurvivesAnUnexpectedExceptionOnEachLink() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            hosts.leader();
            for (HostId from : hosts.groups.keySet()) {
                for (HostId to : hosts.groups.keySet()) {
                    if (!from.equals(to)) {
                        hosts.network.linksThrowingOnce.add(from + ">" + to);
                    }
                }
            }
            for (HostId host : List.copyOf(hosts.groups.keySet())) {
                // Only a leader or a candidate sends requests; an isolated host becomes a candidate.
                hosts.network.isolatedHosts.add(host.name());
                ControlHosts.await(
                        "an exception on each link of " + host,
                        () -> hosts.network.linksThrowingOnce.stream().noneMatch(link -> link.startsWith(host + ">")));
                hosts.network.isolatedHosts.remove(host.name());
                hosts.leader();
            }
            assertThat(hosts.network.linksThrowingOnce).isEmpty();
            ChangeRequest request = change("c1", "ana", 1_000, 0);

            assertThat(ControlHosts.applyWithRetries(
                            () -> hosts.group(hosts.leader()).apply(request)))
                    .isEqualTo(new Accepted(1));
            for (ControlGroup group : hosts.groups.values()) {
                ControlHosts.await("the change on every host", () -> group.revision() == 1);
            }
        }
    }

    @Test
    void restartOfAllHostsRestoresTheState() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            ControlGroup leader = hosts.group(hosts.leader());
            for (int i = 0; i < 500; i++) {
                ChangeRequest request = change("c" + i, "ana", 1_000 + i, i);
                assertThat(ControlHosts.applyWithRetries(() -> leader.apply(request)))
                        .isEqualTo(new Accepted(i + 1));
            }
            byte[] before = leader.stateBytes();
            List<HostId> names = List.copyOf(hosts.groups.keySet());
            names.forEach(hosts::stop);
            names.forEach(hosts::start);

            assertThat(hosts.group(hosts.leader()).read().get().revision()).isEqualTo(500);
            for (HostId host : names) {
                ControlGroup group = hosts.group(host);
                ControlHosts.await("revision 500 at " + host, () -> group.revision() == 500);
                assertThat(group.stateBytes()).isEqualTo(before);
            }
            assertThat(ControlHosts.applyWithRetries(
                            () -> hosts.group(names.get(1)).apply(change("c7", "ana", 1_007, 7))))
                    .isEqualTo(new Accepted(8));
        }
    }

    /** A host whose disk was replaced rejoins without an operator, and the group then tolerates a second loss. */
    @Test
    void hostWithAnEmptyDiskIsAdmittedUnderANewIdentity() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            ControlHosts.applyWithRetries(() -> hosts.group(hosts.leader()).apply(change("c1", "ana", 1_000, 0)));
            HostId lost = hosts.follower();
            String oldId = hosts.group(lost).status().memberId();
            hosts.stop(lost);
            hosts.deleteDataFolder(lost);
            hosts.start(lost);
            ControlGroup rejoined = hosts.group(lost);

            ControlHosts.await(
                    "admission", () -> isMember(hosts, rejoined.status().memberId()));
            assertThat(rejoined.status().memberId()).isNotEqualTo(oldId);
            assertThat(isMember(hosts, oldId)).isFalse();
            HostId second = hosts.groups.keySet().stream()
                    .filter(host -> !host.equals(lost))
                    .findFirst()
                    .orElseThrow();
            ControlHosts.await(
                    "three members at the rejoined host",
                    () -> rejoined.status().members().members().size() == 3);
            hosts.stop(second);
            assertThat(ControlHosts.applyWithRetries(() -> rejoined.apply(change("c2", "ana", 1_500, 1))))
                    .isEqualTo(new Accepted(2));
        }
    }

    private static boolean isMember(ControlHosts hosts, String memberId) {
        MemberSet members = hosts.group(hosts.leader()).status().members();
        return members.member(memberId).isPresent() && members.members().size() == 3;
    }

    @Test
    void isolatedLeaderRefusesReads() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            HostId old = hosts.leader();
            ControlHosts.applyWithRetries(() -> hosts.group(old).apply(change("c1", "ana", 1_000, 0)));
            hosts.network.isolatedHosts.add(old.name());
            ControlHosts.await(
                    "the end of the lease", () -> !hosts.group(old).status().inContact());

            Either<Failure, ?> refused = hosts.group(old).readWithoutRetry();

            assertThat(refused.getLeft().detail()).startsWith(ControlError.NO_LEADER.code());
            assertThat(refused.getLeft().kind()).isEqualTo(ErrorKind.CONNECTION_LOST);
        }
    }

    @Test
    void removedMemberRejoinsWithAnEmptyFolder() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            HostId removed = hosts.follower();

            assertThat(hosts.group(hosts.leader()).removeMember(removed).isRight())
                    .isTrue();

            assertThat(hosts.group(hosts.leader()).status().members().members()).hasSize(2);
            assertThat(hosts.group(hosts.leader()).removeMember(removed).isLeft())
                    .isTrue();
            hosts.stop(removed);
            hosts.deleteDataFolder(removed);
            hosts.start(removed);
            ControlHosts.await(
                    "admission of the empty host",
                    () -> isMember(hosts, hosts.group(removed).status().memberId()));
        }
    }

    @Test
    void nodesFollowRevisionsAndSubmitChangesWhenTheLeaderStops() {
        try (ControlHosts hosts = new ControlHosts(folder, 3)) {
            ControlClient client = new ControlClient(hosts.network.requester("node"), hosts.addresses(), 10_000);
            TemplateFollower follower = new TemplateFollower(
                    FollowerOptions.of(hosts.addresses()),
                    TemplateSet.EMPTY,
                    hosts.network.requester("node"),
                    SystemClock.INSTANCE,
                    List::of,
                    new Random(1));
            try (follower) {
                follower.start();
                assertThat(ControlHosts.applyWithRetries(() -> client.apply(change("c1", "ana", 1_000, 0))))
                        .isEqualTo(new Accepted(1));
                ControlHosts.await("revision 1", () -> follower.current().revision() == 1);
                hosts.stop(hosts.leader());
                assertThat(ControlHosts.applyWithRetries(() -> client.apply(change("c2", "ana", 1_500, 1))))
                        .isEqualTo(new Accepted(2));
                ControlHosts.await("revision 2", () -> follower.current().revision() == 2);
                assertThat(client.read().get().revision()).isEqualTo(2);
            }
        }
    }

    @Test
    void malformedRequestsDoNotStopTheGroup() {
        try (ControlHosts hosts = new ControlHosts(folder, 1)) {
            ControlGroup group = hosts.group(hosts.leader());
            Random random = new Random(4);
            for (int i = 0; i < 2_000; i++) {
                byte[] malformed = new byte[random.nextInt(40)];
                random.nextBytes(malformed);
                group.requestHandler().handle(HostId.of("node"), malformed);
            }
            assertThat(ControlHosts.applyWithRetries(() -> group.apply(change("c1", "ana", 1_000, 0))))
                    .isEqualTo(new Accepted(1));
        }
    }
}
