package org.sequoianotch.protocol.link;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.Topic;

/**
 * Guards against calls and peer requests over one link whose bodies, responses or failures are lost, cut or mixed up,
 * and against calls that block each other. All calls of a pair of nodes share one connection.
 */
@Timeout(30)
class PeerCallTest {
    /** Guards against bodies that are cut, reordered or stuck at the limits of the flow control window. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 16 * 1024, 64 * 1024, 64 * 1024 + 1, 1_000_000})
    void bodyIsEchoedUnchanged(int length) {
        byte[] body = new byte[length];
        new Random(length).nextBytes(body);
        try (Peers peers = new Peers(Peers::echo)) {
            PeerCall call = peers.open("/a");
            assertThat(call.writeBody(body).isRight()).isTrue();
            assertThat(call.endBody().isRight()).isTrue();
            byte[] response = Peers.responseOf(call).get();
            assertThat(Arrays.copyOfRange(response, 0, 2)).isEqualTo("/a".getBytes());
            assertThat(Arrays.copyOfRange(response, 2, response.length)).isEqualTo(body);
            assertThat(call.trailer().orElseThrow()).isEqualTo(Peers.TRAILER);
        }
    }

    /** Guards against responses that are delivered to another call when calls complete out of order. */
    @Test
    void eachCallGetsItsOwnResponse() throws Exception {
        int count = 300;
        CountDownLatch allOpen = new CountDownLatch(count);
        Random random = new Random(7);
        int[] delaysMs = random.ints(count, 0, 20).toArray();
        CallHandler handler = call -> {
            allOpen.countDown();
            try {
                allOpen.await();
                Thread.sleep(delaysMs[Integer.parseInt(call.header().path().substring(1))]);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            Peers.echo(call);
        };
        try (Peers peers = new Peers(handler);
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<byte[]>> responses = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String path = "/" + i;
                responses.add(executor.submit(() -> {
                    PeerCall call = peers.open(path);
                    call.writeBody(path.getBytes());
                    call.endBody();
                    return Peers.responseOf(call).get();
                }));
            }
            for (int i = 0; i < count; i++) {
                assertThat(new String(responses.get(i).get())).isEqualTo("/" + i + "/" + i);
            }
            assertThat(peers.callerCounters.opened()).isEqualTo(1);
            assertThat(peers.callerCounters.unknownCallFrames()).isEqualTo(0);
        }
    }

    /**
     * Guards against a writer that waits for the window of a body that the peer no longer reads, although it responded.
     */
    @Test
    void writerFailsWhenPeerRespondsBeforeReadingBody() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CallHandler handler = call -> {
            call.startResponse(Peers.OK);
            try {
                release.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            call.endResponse(Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler);
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            PeerCall call = peers.open("/early");
            Future<Either<Failure, Void>> written = executor.submit(() -> call.writeBody(new byte[500_000]));

            assertThat(written.get(Peers.WAIT_MS, TimeUnit.MILLISECONDS).isLeft())
                    .isTrue();

            assertThat(call.awaitResponse(Peers.WAIT_MS).get().status()).isEqualTo(200);
            release.countDown();
        }
    }

    /** Guards against a slow reader that blocks the other calls of its link, in either direction. */
    @Test
    void slowReaderDoesNotBlockOtherCalls() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        byte[] large = new byte[500_000];
        CallHandler handler = call -> {
            if (call.header().path().equals("/slow")) {
                try {
                    release.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            Peers.echo(call);
        };
        try (Peers peers = new Peers(handler);
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            PeerCall slow = peers.open("/slow");
            Future<Either<Failure, Void>> written = executor.submit(() -> {
                slow.writeBody(large);
                return slow.endBody();
            });
            PeerCall unread = peers.open("/unread");
            unread.writeBody(large);
            unread.endBody();
            for (int i = 0; i < 20; i++) {
                PeerCall quick = peers.open("/quick");
                quick.writeBody(new byte[100_000]);
                quick.endBody();
                assertThat(Peers.responseOf(quick).get()).hasLength(100_006);
            }
            assertThat(written.isDone()).isFalse();
            release.countDown();
            assertThat(Peers.responseOf(slow).get()).hasLength(large.length + 5);
            assertThat(written.get().isRight()).isTrue();
            assertThat(Peers.responseOf(unread).get()).hasLength(large.length + 7);
        }
    }

    /**
     * Guards against refusals that lose their kind, detail or retry delay; the kind tells the caller that nothing ran.
     */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void refusalReachesCallerUnchanged(ErrorKind kind) {
        Failure refusal = new Failure(kind, "détail of " + kind, 1_234);
        try (Peers peers = new Peers(call -> call.refuse(refusal, Peers.TRAILER))) {
            PeerCall call = peers.open("/a");
            assertThat(call.awaitResponse(Peers.WAIT_MS).getLeft()).isEqualTo(refusal);
            assertThat(call.trailer()).hasValue(Peers.TRAILER);
            assertThat(call.writeBody(new byte[1]).getLeft()).isEqualTo(refusal);
        }
    }

    /** Guards against a cut response that is reported as complete or as not run. */
    @Test
    void failureAfterStartOfResponseCutsIt() {
        CallHandler handler = call -> {
            call.startResponse(Peers.OK);
            call.writeBody(new byte[10]);
            call.refuse(Failure.of(ErrorKind.OVERLOADED, "late"), Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler)) {
            Failure failure = Peers.responseOf(peers.open("/a")).getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.BACKEND_CUT_ANSWER);
        }
    }

    /** Guards against a caller that waits for a handler that has thrown or has returned without a response. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failingHandlerIsReported(boolean throwing) {
        CallHandler handler = call -> {
            if (throwing) {
                throw new IllegalStateException("expected by the test");
            }
        };
        try (Peers peers = new Peers(handler)) {
            Failure failure = Peers.responseOf(peers.open("/a")).getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.INTERNAL);
        }
    }

    /** Guards against cancelled calls that continue at the peer, whether their handler reads or writes. */
    @ParameterizedTest
    @ValueSource(strings = {"reads", "writes"})
    void cancelReachesHandler(String activity) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        CountDownLatch failed = new CountDownLatch(1);
        CallHandler handler = call -> {
            call.onCancel(reason -> cancelled.countDown());
            started.countDown();
            if (activity.equals("writes")) {
                call.startResponse(Peers.OK);
            }
            Either<Failure, ?> result =
                    activity.equals("writes") ? call.writeBody(new byte[1_000_000]) : call.readBody();
            if (result.isLeft() && result.getLeft().kind() == ErrorKind.CALL_CANCELLED) {
                failed.countDown();
            }
        };
        try (Peers peers = new Peers(handler)) {
            PeerCall call = peers.open("/a");
            started.await();
            call.cancel("the test ends it");
            assertThat(cancelled.await(Peers.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(failed.await(Peers.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(call.readResponseBody(1).getLeft().kind()).isEqualTo(ErrorKind.CALL_CANCELLED);
            Peers.await(() -> peers.listener.openCalls() == 0);
        }
    }

    /** Guards against an upload that hangs, or a response that is lost, when the peer responds without reading. */
    @Test
    void earlyResponseEndsUpload() {
        CallHandler handler = call -> {
            call.startResponse(Peers.OK);
            call.endResponse(Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler)) {
            PeerCall call = peers.open("/a");
            assertThat(call.writeBody(new byte[1_000_000]).getLeft().kind()).isEqualTo(ErrorKind.BODY_INCOMPLETE);
            assertThat(call.endBody().isRight()).isTrue();
            assertThat(Peers.responseOf(call).get()).isEmpty();
        }
    }

    /** Guards against an expired deadline that is reported as proof that the call did not run. */
    @Test
    void missingResponseIsInDoubt() {
        try (Peers peers = new Peers(call -> call.readBody())) {
            PeerCall call = peers.open("/a");
            assertThat(call.awaitResponse(1).getLeft().kind()).isEqualTo(ErrorKind.DEADLINE_IN_DOUBT);
            call.cancel("too late");
        }
    }

    /** Guards against a call head that exceeds the maximum frame size and closes the link with all of its calls. */
    @Test
    void oversizedHeadIsRefusedBeforeSending() {
        try (Peers peers = new Peers(Peers::echo)) {
            Failure failure = peers.links
                    .open(peers.address, Peers.header("/" + "x".repeat(300_000)))
                    .getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
            peers.open("/a").endBody();
            assertThat(peers.callerCounters.lost()).isEqualTo(0);
        }
    }

    /** Guards against peer requests that reach the wrong handler or lose their failure. */
    @Test
    void requestsReachHandlerOfTopic() {
        try (Peers peers = new Peers(Peers::echo)) {
            peers.listener.register(
                    Topic.LEDGER, (from, payload) -> Either.right((from + new String(payload)).getBytes()));
            peers.listener.register(
                    Topic.CONTROL, (from, payload) -> Either.left(new Failure(ErrorKind.NO_INSTANCE, "no leader", 77)));
            peers.listener.register(Topic.EXPLAIN, (from, payload) -> Either.right(new byte[Frame.WINDOW_BYTES * 5]));
            assertThat(new String(request(peers, Topic.LEDGER).get())).isEqualTo("caller?");
            assertThat(request(peers, Topic.CONTROL).getLeft())
                    .isEqualTo(new Failure(ErrorKind.NO_INSTANCE, "no leader", 77));
            assertThat(request(peers, Topic.MEMBERSHIP).getLeft().kind()).isEqualTo(ErrorKind.NO_INSTANCE);
            assertThat(request(peers, Topic.EXPLAIN).getLeft().kind()).isEqualTo(ErrorKind.INTERNAL);
        }
    }

    private static Either<Failure, byte[]> request(Peers peers, Topic topic) {
        return peers.links.request(peers.address, topic, "?".getBytes(), Peers.WAIT_MS);
    }
}
