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

@Timeout(30)
class PeerCallTest {
    /** Guards against bodies that are cut, reordered or stuck at the window's edges. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 16 * 1024, 64 * 1024, 64 * 1024 + 1, 1_000_000})
    void echoesBody(int length) {
        byte[] body = new byte[length];
        new Random(length).nextBytes(body);
        try (Peers peers = new Peers(Peers::echo)) {
            PeerCall call = peers.open("/a");
            assertThat(call.writeBody(body).isRight()).isTrue();
            assertThat(call.endBody().isRight()).isTrue();
            byte[] answer = Peers.answerOf(call).get();
            assertThat(Arrays.copyOfRange(answer, 0, 2)).isEqualTo("/a".getBytes());
            assertThat(Arrays.copyOfRange(answer, 2, answer.length)).isEqualTo(body);
            assertThat(call.trailer().orElseThrow()).isEqualTo(Peers.TRAILER);
        }
    }

    /** Guards against answers that reach another call when they are given in a different order (R3). */
    @Test
    void eachCallGetsItsOwnAnswer() throws Exception {
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
            List<Future<byte[]>> answers = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String path = "/" + i;
                answers.add(executor.submit(() -> {
                    PeerCall call = peers.open(path);
                    call.writeBody(path.getBytes());
                    call.endBody();
                    return Peers.answerOf(call).get();
                }));
            }
            for (int i = 0; i < count; i++) {
                assertThat(new String(answers.get(i).get())).isEqualTo("/" + i + "/" + i);
            }
            assertThat(peers.callerCounters.opened()).isEqualTo(1);
            assertThat(peers.callerCounters.unknownCallFrames()).isEqualTo(0);
        }
    }

    /** Guards against an early answer that waits behind the rest of a long body, which nobody reads any more. */
    @Test
    void writerLearnsThatItsCallWasAnsweredBeforeTheBodyWasRead() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CallHandler handler = call -> {
            call.answer(Peers.OK);
            try {
                release.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            call.end(Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler);
                var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            PeerCall call = peers.open("/early");
            Future<Either<Failure, Void>> written = executor.submit(() -> call.writeBody(new byte[500_000]));

            assertThat(written.get(Peers.WAIT_MS, TimeUnit.MILLISECONDS).isLeft())
                    .isTrue();

            assertThat(call.awaitAnswer(Peers.WAIT_MS).get().status()).isEqualTo(200);
            release.countDown();
        }
    }

    /** Guards against one slow reader that stops the other calls of its link, in either direction. */
    @Test
    void slowReaderDoesNotStopOtherCalls() throws Exception {
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
                assertThat(Peers.answerOf(quick).get()).hasLength(100_006);
            }
            assertThat(written.isDone()).isFalse();
            release.countDown();
            assertThat(Peers.answerOf(slow).get()).hasLength(large.length + 5);
            assertThat(written.get().isRight()).isTrue();
            assertThat(Peers.answerOf(unread).get()).hasLength(large.length + 7);
        }
    }

    /** Guards against refusals that lose their kind, detail or wait, by which a caller knows that nothing ran (R4). */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void passesRefusalOn(ErrorKind kind) {
        Failure refusal = new Failure(kind, "détail of " + kind, 1_234);
        try (Peers peers = new Peers(call -> call.refuse(refusal, Peers.TRAILER))) {
            PeerCall call = peers.open("/a");
            assertThat(call.awaitAnswer(Peers.WAIT_MS).getLeft()).isEqualTo(refusal);
            assertThat(call.trailer()).hasValue(Peers.TRAILER);
            assertThat(call.writeBody(new byte[1]).getLeft()).isEqualTo(refusal);
        }
    }

    /** Guards against an answer that is broken off and taken as whole or as not run (R3, R4). */
    @Test
    void brokenOffAnswerIsCut() {
        CallHandler handler = call -> {
            call.answer(Peers.OK);
            call.writeBody(new byte[10]);
            call.refuse(Failure.of(ErrorKind.OVERLOADED, "late"), Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler)) {
            Failure failure = Peers.answerOf(peers.open("/a")).getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.BACKEND_CUT_ANSWER);
        }
    }

    /** Guards against a handler that fails and leaves its caller waiting. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failingHandlerIsReported(boolean throwing) {
        CallHandler handler = call -> {
            if (throwing) {
                throw new IllegalStateException("expected by the test");
            }
        };
        try (Peers peers = new Peers(handler)) {
            Failure failure = Peers.answerOf(peers.open("/a")).getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.INTERNAL);
        }
    }

    /** Guards against cancelled calls that go on at the peer, whether it reads, writes or computes. */
    @ParameterizedTest
    @ValueSource(strings = {"reads", "writes"})
    void cancelReachesHandler(String activity) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        CountDownLatch failed = new CountDownLatch(1);
        CallHandler handler = call -> {
            call.onCancel(cancelled::countDown);
            started.countDown();
            if (activity.equals("writes")) {
                call.answer(Peers.OK);
            }
            Either<Failure, ?> result =
                    activity.equals("writes") ? call.writeBody(new byte[1_000_000]) : call.readBody();
            if (result.isLeft() && result.getLeft().kind() == ErrorKind.CALLER_GONE) {
                failed.countDown();
            }
        };
        try (Peers peers = new Peers(handler)) {
            PeerCall call = peers.open("/a");
            started.await();
            call.cancel("the test ends it");
            assertThat(cancelled.await(Peers.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(failed.await(Peers.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(call.readAnswerBody(1).getLeft().kind()).isEqualTo(ErrorKind.CALLER_GONE);
            Peers.await(() -> peers.listener.openCalls() == 0);
        }
    }

    /** Guards against an upload that hangs, or an early answer that is lost, when the peer answers without reading. */
    @Test
    void earlyAnswerEndsUpload() {
        CallHandler handler = call -> {
            call.answer(Peers.OK);
            call.end(Peers.TRAILER);
        };
        try (Peers peers = new Peers(handler)) {
            PeerCall call = peers.open("/a");
            assertThat(call.writeBody(new byte[1_000_000]).getLeft().kind()).isEqualTo(ErrorKind.BODY_INCOMPLETE);
            assertThat(call.endBody().isRight()).isTrue();
            assertThat(Peers.answerOf(call).get()).isEmpty();
        }
    }

    /** Guards against a deadline that is reported as proof that nothing ran. */
    @Test
    void missingAnswerIsInDoubt() {
        try (Peers peers = new Peers(call -> call.readBody())) {
            PeerCall call = peers.open("/a");
            assertThat(call.awaitAnswer(1).getLeft().kind()).isEqualTo(ErrorKind.DEADLINE_IN_DOUBT);
            call.cancel("too late");
        }
    }

    /** Guards against heads that are too large for a frame and would cost the whole link. */
    @Test
    void oversizeHeadIsRefusedUnsent() {
        try (Peers peers = new Peers(Peers::echo)) {
            Failure failure = peers.links
                    .open(peers.address, Peers.header("/" + "x".repeat(300_000)))
                    .getLeft();
            assertThat(failure.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
            peers.open("/a").endBody();
            assertThat(peers.callerCounters.lost()).isEqualTo(0);
        }
    }

    /** Guards against questions that reach the wrong handler or lose their failure. */
    @Test
    void questionsReachTheirHandler() {
        try (Peers peers = new Peers(Peers::echo)) {
            peers.listener.answer(
                    Topic.LEDGER, (from, payload) -> Either.right((from + new String(payload)).getBytes()));
            peers.listener.answer(
                    Topic.CONTROL, (from, payload) -> Either.left(new Failure(ErrorKind.NO_INSTANCE, "no leader", 77)));
            peers.listener.answer(Topic.EXPLAIN, (from, payload) -> Either.right(new byte[Frame.WINDOW_BYTES * 5]));
            assertThat(new String(ask(peers, Topic.LEDGER).get())).isEqualTo("caller?");
            assertThat(ask(peers, Topic.CONTROL).getLeft())
                    .isEqualTo(new Failure(ErrorKind.NO_INSTANCE, "no leader", 77));
            assertThat(ask(peers, Topic.MEMBERSHIP).getLeft().kind()).isEqualTo(ErrorKind.NO_INSTANCE);
            assertThat(ask(peers, Topic.EXPLAIN).getLeft().kind()).isEqualTo(ErrorKind.INTERNAL);
        }
    }

    private static Either<Failure, byte[]> ask(Peers peers, Topic topic) {
        return peers.links.ask(peers.address, topic, "?".getBytes(), Peers.WAIT_MS);
    }
}
