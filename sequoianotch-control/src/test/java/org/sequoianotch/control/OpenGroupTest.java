package org.sequoianotch.control;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.control.group.GroupSettings;
import org.sequoianotch.control.group.Role;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.ChangeResult.Accepted;
import org.sequoianotch.control.state.ChangeResult.Refused;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.OrganisationName;
import org.sequoianotch.time.SystemClock;

/**
 * Guards against a group that starts from seeds and does not admit further hosts, does not remove unresponsive members,
 * or is formed a second time by a host that lost its data folder.
 */
final class OpenGroupTest {
    private static final long ELECTION_TIMEOUT_MS = 150;
    private static final long REMOVE_UNRESPONSIVE_AFTER_MS = 900;
    private static final OrganisationName ORGANISATION = OrganisationName.of("deployment");

    private final LocalNetwork network = new LocalNetwork();
    private final SortedMap<HostId, String> knownHosts = new ConcurrentSkipListMap<>();
    private final SortedMap<HostId, ControlGroup> groups = new TreeMap<>();
    private int minVoters = 3;

    @TempDir
    private Path folder;

    private void start(String name, boolean firstStart) {
        HostId host = HostId.of(name);
        knownHosts.put(host, name);
        SortedMap<HostId, String> own = new TreeMap<>();
        own.put(host, name);
        ControlGroupOptions options = new ControlGroupOptions(
                host,
                own,
                folder.resolve(name),
                GroupSettings.of(ELECTION_TIMEOUT_MS),
                1_000,
                5_000,
                GroupFormation.open(
                        List.of("host-2", "host-0", "host-1"), firstStart, REMOVE_UNRESPONSIVE_AFTER_MS, minVoters));
        ControlGroup group = new ControlGroup(
                options,
                () -> knownHosts,
                (request, texts) -> List.of(),
                network.requester(name),
                SystemClock.INSTANCE);
        network.register(name, group.requestHandler());
        group.start();
        groups.put(host, group);
    }

    private void stop(String name) {
        network.unregister(name);
        groups.remove(HostId.of(name)).close();
    }

    @AfterEach
    void close() {
        List.copyOf(groups.keySet()).forEach(host -> stop(host.name()));
    }

    private ControlGroup group(String name) {
        return groups.get(HostId.of(name));
    }

    private int voterCount() {
        return groups.values().stream()
                .filter(group -> group.status().inContact())
                .mapToInt(group -> group.status().members().members().size())
                .max()
                .orElse(0);
    }

    private static ChangeRequest change(String id, long expected, long revision) {
        return new ChangeRequest(id, "ana", ORGANISATION, "text of " + id, expected, revision);
    }

    /** Each host is configured with three seeds only; the fourth host must be discovered and admitted. */
    @Test
    void furtherHostsAreAdmittedAndUnresponsiveMembersAreRemoved() {
        start("host-1", true);
        start("host-2", true);
        start("host-3", true);
        start("host-0", true);
        ControlHosts.await("four voters", () -> voterCount() == 4);
        assertThat(ControlHosts.applyWithRetries(() -> group("host-3").apply(change("c1", 0, 5))))
                .isEqualTo(new Accepted(5));

        stop("host-1");
        knownHosts.remove(HostId.of("host-1"));
        ControlHosts.await("three voters", () -> voterCount() == 3);
        start("host-1", false);

        ControlHosts.await("four voters again", () -> voterCount() == 4);
        ControlHosts.await(
                "a read at the restarted host", () -> group("host-1").read().isRight());
        assertThat(group("host-1").read().get().revision()).isEqualTo(5);
    }

    /** A host that lost its disk must not form a second group next to the one that it belonged to. */
    @Test
    void hostWithAnEmptyDiskRejoinsItsGroup() throws IOException {
        start("host-0", true);
        start("host-1", true);
        start("host-2", true);
        assertThat(ControlHosts.applyWithRetries(() -> group("host-1").apply(change("c1", 0, 9))))
                .isEqualTo(new Accepted(9));
        stop("host-0");
        loseDisk("host-0");

        start("host-0", false);

        ControlHosts.await(
                "a read at the host with the empty disk",
                () -> group("host-0").read().isRight());
        assertThat(group("host-0").read().get().revision()).isEqualTo(9);
    }

    private void loseDisk(String name) throws IOException {
        for (String file : List.of("log", "vote", "member", "snapshot", "lock")) {
            Files.deleteIfExists(folder.resolve(name).resolve(file));
        }
    }

    /** With three of five voters, a change was acknowledged that two lost disks took away, and the group with it. */
    @Test
    void firstAcknowledgedChangeOutlivesTheLossesThatTheGroupIsToBear() throws IOException {
        minVoters = 5;
        List.of("host-0", "host-1", "host-2").forEach(name -> start(name, true));
        ControlHosts.await("three voters", () -> voterCount() == 3);
        assertThat(group("host-0").apply(change("c1", 0, 4)).isLeft()).isTrue();

        List.of("host-3", "host-4", "host-5").forEach(name -> start(name, true));
        assertThat(ControlHosts.applyWithRetries(() -> group("host-0").apply(change("c1", 0, 4))))
                .isEqualTo(new Accepted(4));
        for (String lost : List.of("host-0", "host-1")) {
            stop(lost);
            loseDisk(lost);
        }
        List.of("host-0", "host-1").forEach(name -> start(name, false));

        for (String name : List.of("host-0", "host-2", "host-4")) {
            ControlHosts.await("a read at " + name, () -> group(name).read().isRight());
            assertThat(group(name).read().get().revision()).isEqualTo(4);
        }
    }

    /** Its second start is not the first one of the deployment, so nobody was left who could form the group. */
    @Test
    void firstFounderThatWasKilledBeforeItFormedTheGroupFormsItAfterwards() {
        start("host-0", true);
        stop("host-0");
        start("host-1", true);
        start("host-2", true);
        start("host-0", false);

        ControlHosts.await("three voters", () -> voterCount() == 3);
    }

    /** A kill before its identity was stored leaves an empty disk, as a lost disk does. */
    @Test
    void nextFounderFormsTheGroupIfTheFirstOneHasAnEmptyDisk() throws IOException {
        start("host-0", true);
        stop("host-0");
        loseDisk("host-0");
        start("host-1", true);
        start("host-2", true);
        start("host-0", false);

        ControlHosts.await("three voters", () -> voterCount() == 3);
    }

    /** Two founders with empty disks may have had a group whose acknowledged changes the third one does not know. */
    @Test
    void noGroupIsFormedIfMostFoundersHaveEmptyDisks() throws IOException, InterruptedException {
        for (String name : List.of("host-0", "host-1")) {
            start(name, true);
            stop(name);
            loseDisk(name);
        }
        start("host-2", true);
        start("host-0", false);
        start("host-1", false);

        Thread.sleep(10 * ELECTION_TIMEOUT_MS);
        assertThat(voterCount()).isEqualTo(0);
    }

    /** A corrupt data folder is treated like a lost disk; the host must rejoin without an operator. */
    @Test
    void hostWithACorruptFolderRejoinsUnderANewIdentity() throws IOException {
        start("host-0", true);
        start("host-1", true);
        start("host-2", true);
        assertThat(ControlHosts.applyWithRetries(() -> group("host-1").apply(change("c1", 0, 9))))
                .isEqualTo(new Accepted(9));
        String before = group("host-2").status().memberId();
        stop("host-2");
        Path vote = folder.resolve("host-2").resolve("vote");
        byte[] content = Files.readAllBytes(vote);
        content[content.length / 2] ^= 0x10;
        Files.write(vote, content);

        start("host-2", false);

        ControlHosts.await(
                "contact with the group", () -> group("host-2").status().inContact());
        assertThat(group("host-2").status().memberId()).isNotEqualTo(before);
    }

    /**
     * A change that is too large for a frame between hosts could not be replicated. It stayed at the end of the log of
     * the leader, and no later change was committed.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void changeThatDoesNotFitIntoAFrameIsRefused(boolean atLeader) {
        List.of("host-0", "host-1", "host-2").forEach(name -> start(name, true));
        ControlHosts.applyWithRetries(() -> group("host-0").apply(change("c1", 0, 4)));
        ControlGroup asked = groups.values().stream()
                .filter(group -> (group.status().role() == Role.LEADER) == atLeader)
                .findFirst()
                .orElseThrow();
        StringBuilder text = new StringBuilder();
        new Random(1).ints(300_000, 0, 256).forEach(code -> text.append((char) code));
        ChangeRequest tooLarge = new ChangeRequest("c2", "ana", ORGANISATION, text.toString(), 4, 5);

        assertThat(ControlHosts.applyWithRetries(() -> asked.apply(tooLarge))).isInstanceOf(Refused.class);
        assertThat(ControlHosts.applyWithRetries(() -> group("host-0").apply(change("c3", 4, 6))))
                .isEqualTo(new Accepted(6));
    }

    /** Operators may skip revisions, and a resend must be acknowledged again after later changes. */
    @Test
    void resendOfAnAcceptedChangeIsAcknowledgedAfterLaterChanges() {
        start("host-0", true);
        start("host-1", true);
        start("host-2", true);
        ControlHosts.applyWithRetries(() -> group("host-0").apply(change("c1", 0, 4)));
        ControlHosts.applyWithRetries(() -> group("host-1").apply(change("c2", 4, 11)));

        assertThat(ControlHosts.applyWithRetries(() -> group("host-2").apply(change("c1", 0, 4))))
                .isEqualTo(new Accepted(4));
        assertThat(ControlHosts.applyWithRetries(() -> group("host-2").apply(change("c3", 4, 12))))
                .isNotInstanceOf(Accepted.class);
        Either<?, ?> read = group("host-0").read();
        assertThat(read.isLeft() || group("host-0").revision() <= 11).isTrue();
    }
}
