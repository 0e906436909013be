package org.sequoianotch.protocol.link;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Range;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameCodec;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.time.SystemClock;

/**
 * Guards against links that survive a fault they must end on, and against calls that hang or get a wrong outcome when
 * their link ends. Faults are wrong keys and certificates, malformed frames, protocol violations, silent peers and lost
 * connections.
 */
@Timeout(30)
class LinkFailureTest {
    private static final long SHORT_SILENCE_MS = 300;

    /** Timers fire late on a busy build machine. */
    private static final long SCHEDULING_SLACK_MS = 1_000;

    private static final CallHandler UNUSED = call -> {
        throw new IllegalStateException("The handler was called, but no call should arrive");
    };

    /** Guards against a caller that sends calls to a peer without the deployment key. */
    @Test
    void wrongKeyIsRefusedByCaller() throws Exception {
        try (Peers peers = new Peers(
                UNUSED, Peers.options("caller", "another key", null), Peers.options("callee", Peers.KEY, null))) {
            Failure failure =
                    peers.links.open(peers.address, Peers.header("/a")).getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.NO_INSTANCE);
            assertThat(failure.detail()).contains("does not hold the deployment key");
            assertThat(peers.callerCounters.refusedHandshakes()).isEqualTo(1);
            Peers.await(() -> peers.calleeCounters.refusedHandshakes() == 1);
        }
    }

    /** Guards against an accepting side that serves a peer without the deployment key, which skips its own check. */
    @Test
    void wrongKeyIsRefusedByCallee() throws Exception {
        try (Peers peers = new Peers(UNUSED);
                RawPeer raw = RawPeer.connect(peers.address)) {
            raw.helloAndProof("another key").send(new Frame.CallStart(1, Peers.header("/a")));
            raw.awaitClose();
            assertThat(peers.calleeCounters.refusedHandshakes()).isEqualTo(1);
            assertThat(peers.calleeCounters.opened()).isEqualTo(0);
        }
    }

    /** Guards against unused links that send heartbeats forever, and against closing a link with an open call. */
    @Test
    void idleLinkIsClosedAndReplacedOnUse() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CallHandler handler = call -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            call.refuse(Failure.of(ErrorKind.OVERLOADED, "end of the test"), Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler)) {
            PeerCall open = peers.links.open(peers.address, Peers.header("/a")).get();
            Thread.sleep(20);
            assertThat(peers.links.closeIdleLinks(10)).isEqualTo(0);
            release.countDown();
            assertThat(open.awaitResponse(5_000).getLeft().kind()).isEqualTo(ErrorKind.OVERLOADED);
            Peers.await(() -> peers.links.closeIdleLinks(10) == 1);
            peers.links.open(peers.address, Peers.header("/b")).get().cancel("end of the test");
            Peers.await(() -> peers.callerCounters.opened() == 2);
        }
    }

    /** Guards against calls that are accepted before the handshake, and against peers of another protocol version. */
    @ParameterizedTest
    @MethodSource("badFirstFrames")
    void badFirstFrameIsRefused(Frame frame) throws Exception {
        try (Peers peers = new Peers(UNUSED);
                RawPeer raw = RawPeer.connect(peers.address)) {
            raw.send(frame);
            raw.awaitClose();
            assertThat(peers.calleeCounters.refusedHandshakes()).isEqualTo(1);
        }
    }

    static List<Frame> badFirstFrames() {
        LinkOptions options = Peers.options("x", "k", null);
        return List.of(
                new Frame.CallStart(1, Peers.header("/a")),
                new Frame.Ping(1),
                new Frame.Hello(Frame.VERSION + 1, options.host(), options.dataCentre(), new byte[Frame.PROOF_BYTES]));
    }

    /** Guards against malformed frames that stop the node, or that are not counted. */
    @ParameterizedTest
    @CsvSource({"false, -1", "false, 262145", "false, 0", "true, 5", "true, -5", "true, 2000000000"})
    void malformedFrameClosesOnlyItsLink(boolean afterHandshake, int length) throws Exception {
        try (Peers peers = new Peers(Peers::echo);
                RawPeer raw = RawPeer.connect(peers.address)) {
            if (afterHandshake) {
                raw.helloAndProof(Peers.KEY);
                Peers.await(() -> peers.calleeCounters.opened() == 1);
            }
            raw.sendRaw(length, new byte[] {(byte) 0xc1, 1, 2, 3, 4});
            raw.awaitClose();
            Peers.await(() -> peers.calleeCounters.malformedFrames() == 1);
            PeerCall call = peers.open("/a");
            call.endBody();
            assertThat(Peers.responseOf(call).isRight()).isTrue();
        }
    }

    /** Guards against peers that exceed the flow control window, reuse call ids or send frames of the other side. */
    @ParameterizedTest
    @MethodSource("violations")
    void violationClosesLink(List<Frame> frames) throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        CallHandler handler = call -> {
            call.onCancel(reason -> cancelled.countDown());
            awaitLatch(release);
            call.refuse(Failure.of(ErrorKind.OVERLOADED, ""), Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler);
                RawPeer raw = RawPeer.connect(peers.address)) {
            raw.helloAndProof(Peers.KEY).send(new Frame.CallStart(5, Peers.header("/a")));
            for (Frame frame : frames) {
                raw.send(frame);
            }
            raw.awaitClose();
            assertThat(cancelled.await(Peers.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(peers.calleeCounters.malformedFrames()).isEqualTo(1);
            release.countDown();
        }
    }

    static List<List<Frame>> violations() {
        Frame chunk = new Frame.Body(5, new byte[Frame.MAX_CHUNK_BYTES]);
        return List.of(
                List.of(chunk, chunk, chunk, chunk, new Frame.Body(5, new byte[1])),
                List.of(new Frame.BodyEnd(5), chunk),
                List.of(new Frame.BodyEnd(5), new Frame.BodyEnd(5)),
                List.of(new Frame.CallStart(5, Peers.header("/b"))),
                List.of(new Frame.CallStart(4, Peers.header("/b"))),
                List.of(new Frame.Window(5, 1)),
                List.of(new Frame.ResponseStart(5, Peers.OK)),
                List.of(new Frame.PeerResponse(1, new byte[0])),
                List.of(new Frame.Proof(new byte[Frame.PROOF_BYTES])));
    }

    /** Guards against frames of ended calls that are delivered to another call or close the link. */
    @Test
    void framesOfUnknownCallsAreDropped() throws Exception {
        try (Peers peers = new Peers(Peers::echo);
                RawPeer raw = RawPeer.connect(peers.address)) {
            raw.helloAndProof(Peers.KEY);
            raw.send(new Frame.Body(7, new byte[1]));
            raw.send(new Frame.BodyEnd(7));
            raw.send(new Frame.Cancel(7, "x"));
            raw.send(new Frame.Window(7, 1));
            raw.send(new Frame.CallStart(8, Peers.header("/a")));
            raw.send(new Frame.BodyEnd(8));
            raw.receive(Frame.ResponseEnd.class);
            assertThat(peers.calleeCounters.unknownCallFrames()).isEqualTo(4);
        }
    }

    /** Guards against calls that are reported as complete or as not run when their peer is killed. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void peerKilledDuringCallLeavesItInDoubt(boolean afterHead) throws Exception {
        try (Peers peers = new Peers(UNUSED);
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            String address = "127.0.0.1:" + server.getLocalPort();
            Future<Either<Failure, byte[]>> response = executor.submit(() -> Peers.responseOf(
                    peers.links.open(address, Peers.header("/a")).get()));
            Future<Either<Failure, byte[]>> requestResult;
            try (RawPeer raw = RawPeer.accept(server).challenge(Peers.KEY)) {
                long callId = raw.receive(Frame.CallStart.class).callId();
                requestResult =
                        executor.submit(() -> peers.links.request(address, Topic.CONTROL, new byte[1], Peers.WAIT_MS));
                raw.receive(Frame.PeerRequest.class);
                if (afterHead) {
                    raw.send(new Frame.ResponseStart(callId, Peers.OK));
                    raw.send(new Frame.ResponseBody(callId, new byte[10]));
                }
                // A peer response with an unknown id is counted, which shows that the frames before it were received.
                raw.send(new Frame.PeerResponse(99, new byte[0]));
                Peers.await(() -> peers.callerCounters.unknownCallFrames() == 1);
            }
            assertThat(response.get().getLeft().kind()).isEqualTo(ErrorKind.CONNECTION_LOST);
            assertThat(requestResult.get().getLeft().provesNotRun()).isFalse();
            Peers.await(() -> peers.callerCounters.lost() == 1);
        }
    }

    /** Guards against a complete response that is reported as lost because its link ends right after it. */
    @Test
    void completeResponseIsReadableAfterLinkEnds() throws Exception {
        try (Peers peers = new Peers(UNUSED);
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            String address = "127.0.0.1:" + server.getLocalPort();
            Future<PeerCall> opened = executor.submit(
                    () -> peers.links.open(address, Peers.header("/a")).get());
            try (RawPeer raw = RawPeer.accept(server).challenge(Peers.KEY)) {
                long callId = raw.receive(Frame.CallStart.class).callId();
                raw.send(new Frame.ResponseStart(callId, Peers.OK));
                raw.send(new Frame.ResponseBody(callId, new byte[10]));
                raw.send(new Frame.ResponseEnd(callId, Peers.TRAILER));
            }
            Peers.await(() -> peers.callerCounters.lost() == 1);
            assertThat(Peers.responseOf(opened.get()).get()).hasLength(10);
        }
    }

    /** Guards against calls that wait on a silent link while a new connection to the peer would work. */
    @Test
    void silentLinkIsClosedAndReplaced() throws Exception {
        try (Peers peers = Peers.withSilenceTimeout(UNUSED, SHORT_SILENCE_MS);
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            String address = "127.0.0.1:" + server.getLocalPort();
            Future<PeerCall> opened = executor.submit(
                    () -> peers.links.open(address, Peers.header("/a")).get());
            try (RawPeer silent = RawPeer.accept(server).challenge(Peers.KEY)) {
                double startMs = SystemClock.INSTANCE.monotonicMs();
                Failure failure = Peers.responseOf(opened.get()).getLeft();
                double detectedMs = SystemClock.INSTANCE.monotonicMs() - startMs;
                assertThat(failure.kind()).isEqualTo(ErrorKind.CONNECTION_LOST);
                assertThat(failure.detail()).contains("nothing arrived for " + SHORT_SILENCE_MS + " ms");
                assertThat(detectedMs).isLessThan((double) SHORT_SILENCE_MS + SCHEDULING_SLACK_MS);
                silent.awaitClose();
            }
            Future<PeerCall> again = executor.submit(
                    () -> peers.links.open(address, Peers.header("/b")).get());
            try (RawPeer raw = RawPeer.accept(server).challenge(Peers.KEY)) {
                assertThat(raw.receive(Frame.CallStart.class).header().path()).isEqualTo("/b");
                again.get().cancel("the test ends");
            }
            assertThat(peers.callerCounters.silent()).isEqualTo(1);
        }
    }

    /** Guards against calls that continue for a caller that is silent. */
    @Test
    void silentCallerIsDetected() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        CallHandler handler = call -> {
            call.onCancel(reason -> cancelled.countDown());
            call.readBody();
        };
        try (Peers peers = Peers.withSilenceTimeout(handler, SHORT_SILENCE_MS);
                RawPeer raw = RawPeer.connect(peers.address)) {
            raw.helloAndProof(Peers.KEY).send(new Frame.CallStart(1, Peers.header("/a")));
            assertThat(cancelled.await(Peers.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(peers.calleeCounters.silent()).isEqualTo(1);
        }
    }

    /**
     * Guards against an idle link that is closed in spite of heartbeats, and heartbeats that need more than a few
     * bytes.
     */
    @Test
    void heartbeatsKeepIdleLinkOpen() throws Exception {
        try (Peers peers = Peers.withSilenceTimeout(Peers::echo, 1_000)) {
            peers.open("/a").endBody();
            double startMs = SystemClock.INSTANCE.monotonicMs();
            Peers.await(() -> SystemClock.INSTANCE.monotonicMs() - startMs > 1_200);
            assertThat(peers.callerCounters.lost() + peers.calleeCounters.lost())
                    .isEqualTo(0);
            long pairs = (long) (SystemClock.INSTANCE.monotonicMs() - startMs) / 50 + 2;
            assertThat(peers.callerCounters.heartbeatBytes()).isIn(Range.closed(14L, 14 * pairs));
            assertThat(peers.callerCounters.bytesSent()).isGreaterThan(0);
            assertThat(peers.callerCounters.bytesReceived()).isGreaterThan(0);
        }
    }

    /** Guards against needless heartbeats on a link whose calls already prove that both sides are alive. */
    @Test
    void busyLinkSendsFewHeartbeats() throws Exception {
        try (Peers peers = new Peers(Peers::echo)) {
            double startMs = SystemClock.INSTANCE.monotonicMs();
            int calls = 0;
            while (SystemClock.INSTANCE.monotonicMs() - startMs < 1_000) {
                PeerCall call = peers.open("/a");
                call.endBody();
                Peers.responseOf(call);
                calls++;
                Thread.sleep(5);
            }
            // 20 intervals of 50 ms pass; a pause of the machine may leave an interval without a call.
            assertThat(calls).isGreaterThan(20);
            assertThat(peers.callerCounters.heartbeatBytes()).isLessThan(14L * 10);
        }
    }

    /** Guards against new calls to a node that is shutting down, and against open calls that its shutdown cuts. */
    @Test
    void goAwayRefusesNewCallsAndFinishesOpenOnes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CallHandler handler = call -> {
            awaitLatch(release);
            Peers.echo(call);
        };
        try (Peers peers = new Peers(handler);
                RawPeer raw = RawPeer.connect(peers.address)) {
            raw.helloAndProof(Peers.KEY);
            PeerCall before = peers.open("/before");
            Peers.await(() -> peers.listener.openCalls() == 1);
            peers.links.attach(peers.listener);
            peers.links.goAway("planned stop");
            Peers.await(
                    () -> peers.links.open(peers.address, Peers.header("/x")).isLeft());
            Failure failure =
                    peers.links.open(peers.address, Peers.header("/x")).getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.DRAINING);

            raw.receive(Frame.GoAway.class);
            raw.send(new Frame.CallStart(1, Peers.header("/ignored-notice")));
            Frame.Refused refused = raw.receive(Frame.Refused.class);
            assertThat(refused.failure().kind()).isEqualTo(ErrorKind.DRAINING);
            assertThat(refused.trailer().returnedRetries()).isEqualTo(2);

            release.countDown();
            before.endBody();
            assertThat(Peers.responseOf(before).get()).isEqualTo("/before".getBytes());
            peers.listener.close();
            Peers.await(() -> peers.callerCounters.lost() == 1);
        }
    }

    /** Guards against responses whose last frames are dropped when the listener closes right after they are sent. */
    @Test
    void listenerSendsLastFramesBeforeClose() throws Exception {
        byte[] body = new byte[60_000];
        Arrays.fill(body, (byte) 7);
        CountDownLatch served = new CountDownLatch(50);
        CallHandler handler = call -> {
            Peers.echo(call);
            served.countDown();
        };
        try (Peers peers = new Peers(handler)) {
            List<PeerCall> calls = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                PeerCall call = peers.open("/" + i);
                call.writeBody(body);
                call.endBody();
                calls.add(call);
            }
            served.await();
            peers.listener.close();
            for (PeerCall call : calls) {
                assertThat(Peers.responseOf(call).isRight()).isTrue();
            }
        }
    }

    /** Guards against several links to one peer, and against connection failures that do not prove that nothing ran. */
    @Test
    void concurrentOpensShareOneLink() throws Exception {
        try (Peers peers = new Peers(Peers::echo);
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Either<Failure, byte[]>>> responses = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                responses.add(executor.submit(() -> {
                    PeerCall call = peers.open("/a");
                    call.endBody();
                    return Peers.responseOf(call);
                }));
            }
            for (Future<Either<Failure, byte[]>> response : responses) {
                assertThat(response.get().isRight()).isTrue();
            }
            assertThat(peers.calleeCounters.opened()).isEqualTo(1);
            peers.listener.close();
            Peers.await(() -> peers.callerCounters.lost() == 1);
            Failure failure =
                    peers.links.open(peers.address, Peers.header("/a")).getLeft();
            assertThat(failure.provesNotRun()).isTrue();
        }
    }

    /** Guards against invalid addresses that cause an exception or a failure without the reason. */
    @ParameterizedTest
    @ValueSource(strings = {"", "nonsense", "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:x", ":80"})
    void badAddressIsReported(String address) {
        try (Peers peers = new Peers(UNUSED)) {
            Failure failure = peers.links.open(address, Peers.header("/a")).getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.NO_INSTANCE);
            assertThat(failure.detail()).contains("is not an IP address and a port");
        }
    }

    /** Guards against links without TLS, and against untrusted certificates that either side accepts. */
    @ParameterizedTest
    @CsvSource({"node, node, true", "node, stranger, false", "stranger, node, false", "node, , false", ", node, false"})
    void tlsVerifiesBothSides(@Nullable String caller, @Nullable String callee, boolean works) throws Exception {
        CallHandler handler = works ? Peers::echo : UNUSED;
        try (Peers peers = new Peers(
                handler,
                Peers.options("caller", Peers.KEY, tls(caller)),
                Peers.options("callee", Peers.KEY, tls(callee)))) {
            Either<Failure, PeerCall> call = peers.links.open(peers.address, Peers.header("/a"));
            if (works) {
                call.get().writeBody(new byte[200_000]);
                call.get().endBody();
                assertThat(Peers.responseOf(call.get()).get()).hasLength(200_002);
                assertThat(peers.callerCounters.bytesSent()).isGreaterThan(200_000L);
            } else {
                assertThat(call.getLeft().kind()).isEqualTo(ErrorKind.NO_INSTANCE);
                assertThat(peers.callerCounters.refusedHandshakes()).isEqualTo(1);
            }
        }
    }

    /** Guards against unusable TLS files that are detected only when the first peer connects. */
    @Test
    void unusableTlsFilesAreReportedAtStart() {
        LinkOptions options =
                Peers.options("caller", Peers.KEY, new TlsOptions(file("no.pem"), file("no.key"), file("x")));
        try (Transport transport = Transport.create(1)) {
            IllegalArgumentException e = assertThrows(
                    IllegalArgumentException.class,
                    () -> new PeerLinks(options, transport, SystemClock.INSTANCE, new LinkCounters()));
            assertThat(e).hasMessageThat().contains("no.pem");
        }
    }

    /** Guards against reads that stay paused after a burst of frames, here of frames for unknown calls. */
    @Test
    void readsResumeAfterBurstOfFrames() throws Exception {
        int count = 200;
        try (Peers peers = new Peers(Peers::echo);
                RawPeer raw = RawPeer.connect(peers.address)) {
            raw.helloAndProof(Peers.KEY);
            byte[] frame = FrameCodec.encode(new Frame.Body(9, new byte[Frame.MAX_CHUNK_BYTES]));
            for (int i = 0; i < count; i++) {
                raw.sendRaw(frame.length, frame);
            }
            Peers.await(() -> peers.calleeCounters.unknownCallFrames() == count);
        }
    }

    private static @Nullable TlsOptions tls(@Nullable String name) {
        return name == null ? null : new TlsOptions(file(name + ".pem"), file(name + ".key"), file("trust.pem"));
    }

    private static Path file(String name) {
        return Path.of("src/test/resources/tls", name);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
