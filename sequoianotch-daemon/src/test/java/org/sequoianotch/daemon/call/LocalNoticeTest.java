package org.sequoianotch.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.admission.RequestRateLimit;
import org.sequoianotch.time.ManualClock;

/**
 * Guards against outdated statements of an instance that replace newer ones, and against statements that are forgotten
 * when the process beside the instance is restarted.
 */
final class LocalNoticeTest {
    private static final long INCARNATION = 7;
    private static final RequestId REQUEST = new RequestId(0, 1);
    private static final HostId PEER = HostId.of("host-2");
    private static final HostId HOST = HostId.of("host-1");
    private static final ServiceName SERVICE = ServiceName.of("pay1");

    private final ManualClock clock = ManualClock.startingAt(0);
    private final RememberedNotices peer = new RememberedNotices();
    private AtomicLong lastVersion = new AtomicLong();
    private LocalNotice notice = newNotice(INCARNATION);

    private LocalNotice newNotice(long incarnation) {
        return new LocalNotice("i-1 of pay1", incarnation, new RequestRateLimit(clock), lastVersion, clock);
    }

    private void restart(long incarnation) {
        lastVersion = new AtomicLong();
        notice = newNotice(incarnation);
    }

    private void respond(double requestsPerS, double receivedAtMs) {
        notice.onResponse(new InstanceStatement(OptionalDouble.of(requestsPerS), false, null), REQUEST, receivedAtMs);
    }

    private void respondWithNothing() {
        notice.onResponse(InstanceStatement.NONE, REQUEST, clock.monotonicMs());
    }

    private double rate() {
        return notice.rateLimit().requestsPerS();
    }

    private @Nullable InstanceNotice known() {
        return peer.find(HOST, SERVICE);
    }

    /** The peer sends a call with what it remembers, and receives the notice with the response. */
    private void callFromPeer() {
        InstanceNotice remembered = known();
        if (remembered != null) {
            notice.onRemembered(remembered, PEER);
        }
        peer.store(HOST, SERVICE, notice.current());
    }

    @Test
    void firstResponseThatNamesNoRateEndsTheLimit() {
        respond(20, 1);
        assertThat(rate()).isEqualTo(20.0);
        respond(6.5, 2);
        assertThat(rate()).isEqualTo(6.5);
        notice.onResponse(InstanceStatement.NONE, REQUEST, 3);
        assertThat(rate()).isEqualTo(InstanceNotice.UNLIMITED);
    }

    /** An upload reads the head of an early response only when its body is sent. */
    @Test
    void responseThatWasReadLateDoesNotBringAnOldRateBack() {
        respond(20, 5);
        notice.onResponse(InstanceStatement.NONE, REQUEST, 9);
        respond(20, 7);
        assertThat(rate()).isEqualTo(InstanceNotice.UNLIMITED);
    }

    @Test
    void rateThatCannotBeReadLeavesTheOneInForce() {
        respond(20, 1);
        notice.onResponse(new InstanceStatement(OptionalDouble.empty(), false, "unreadable"), REQUEST, 2);
        assertThat(rate()).isEqualTo(20.0);
    }

    @Test
    void instanceThatSaysNothingHasNoNotice() {
        respondWithNothing();
        callFromPeer();
        assertThat(notice.current()).isNull();
        assertThat(known()).isNull();
    }

    @Test
    void peersBringTheRateBackAfterARestart() {
        respond(20, 1);
        respond(6, 2);
        callFromPeer();
        restart(INCARNATION);
        callFromPeer();
        assertThat(rate()).isEqualTo(6.0);
    }

    @Test
    void newestOfTheRememberedRatesCounts() {
        respond(20, 1);
        InstanceNotice older = notice.current();
        respond(6, 2);
        InstanceNotice newer = notice.current();
        restart(INCARNATION);
        notice.onRemembered(older, PEER);
        notice.onRemembered(newer, PEER);
        notice.onRemembered(older, PEER);
        assertThat(rate()).isEqualTo(6.0);
    }

    /** What an instance said before a restart is older than each response after it. */
    @Test
    void responseAfterARestartCountsMoreThanWhatPeersRemember() {
        for (int i = 1; i <= 5; i++) {
            respond(i, i);
        }
        callFromPeer();
        restart(INCARNATION);
        respondWithNothing();
        callFromPeer();
        assertThat(rate()).isEqualTo(InstanceNotice.UNLIMITED);
        assertThat(known().maxRequestsPerS()).isEqualTo(InstanceNotice.UNLIMITED);

        clock.advance(1);
        respond(3, clock.monotonicMs());
        callFromPeer();
        assertThat(known().maxRequestsPerS()).isEqualTo(3.0);
    }

    /** Both processes have given out their first version. */
    @Test
    void equalVersionsOfTwoProcessesDoNotHideTheNewerNotice() {
        respond(20, 1);
        callFromPeer();
        restart(INCARNATION);
        respond(6, 2);
        callFromPeer();
        assertThat(known().maxRequestsPerS()).isEqualTo(6.0);
        assertThat(rate()).isEqualTo(6.0);
    }

    @Test
    void rateOfAnEarlierIncarnationDoesNotApply() {
        respond(20, 1);
        callFromPeer();
        restart(INCARNATION + 1);
        callFromPeer();
        assertThat(rate()).isEqualTo(InstanceNotice.UNLIMITED);
        clock.advance(10);
        respond(4, clock.monotonicMs());
        callFromPeer();
        assertThat(known().maxRequestsPerS()).isEqualTo(4.0);
        assertThat(known().incarnation()).isEqualTo(INCARNATION + 1);
    }

    @Test
    void noticeThatArrivesLateIsNotStored() {
        respond(20, 1);
        InstanceNotice older = notice.current();
        respond(6, 2);
        callFromPeer();
        peer.store(HOST, SERVICE, older);
        assertThat(known().maxRequestsPerS()).isEqualTo(6.0);
    }
}
