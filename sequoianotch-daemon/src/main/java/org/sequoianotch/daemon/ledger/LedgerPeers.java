package org.sequoianotch.daemon.ledger;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.time.Clock;

/**
 * Sends messages to ledger hosts, in parallel if the executor allows it.
 *
 * <p>A local host is called directly. This class is thread-safe.
 */
final class LedgerPeers {
    private final PeerRequester requester;
    private final Clock clock;
    private final Executor executor;
    private final @Nullable LedgerHost localHost;

    LedgerPeers(PeerRequester requester, Clock clock, Executor executor, @Nullable LedgerHost localHost) {
        this.requester = requester;
        this.clock = clock;
        this.executor = executor;
        this.localHost = localHost;
    }

    /** Reply of one host, or the failure to get it. */
    record HostReply(String address, Either<Failure, LedgerReply> reply) {}

    Either<Failure, LedgerReply> send(String address, LedgerMessage message, long timeoutMs) {
        if (localHost != null && localHost.address().equals(address)) {
            return localHost.handle(message);
        }
        return requester
                .request(address, Topic.LEDGER, MessageCodec.encode(message), timeoutMs)
                .flatMap(LedgerPeers::decode);
    }

    /**
     * Sends a message to several hosts and passes their replies, on the calling thread, to {@code decided} until it
     * returns true, all hosts have replied, or the time limit has passed.
     *
     * @return true if {@code decided} returned true
     */
    boolean sendToAll(
            Collection<String> addresses,
            LedgerMessage message,
            long timeoutMs,
            int maxAttempts,
            Predicate<HostReply> decided) {
        double endMs = clock.monotonicMs() + timeoutMs;
        BlockingQueue<HostReply> replies = new LinkedBlockingQueue<>();
        for (String address : addresses) {
            executor.execute(
                    () -> replies.add(new HostReply(address, sendWithRetries(address, message, endMs, maxAttempts))));
        }
        for (int received = 0; received < addresses.size(); received++) {
            HostReply reply = poll(replies, endMs);
            if (reply == null) {
                return false;
            }
            if (decided.test(reply)) {
                return true;
            }
        }
        return false;
    }

    /** Runs a task without waiting for it. */
    void runInBackground(Runnable task) {
        executor.execute(task);
    }

    private Either<Failure, LedgerReply> sendWithRetries(
            String address, LedgerMessage message, double endMs, int maxAttempts) {
        Either<Failure, LedgerReply> reply =
                Either.left(Failure.of(ErrorKind.LEDGER_UNREACHABLE, "No message was sent within the time limit."));
        for (int attempt = 0; attempt < maxAttempts && reply.isLeft(); attempt++) {
            long leftMs = (long) Math.ceil(endMs - clock.monotonicMs());
            if (leftMs <= 0) {
                break;
            }
            try {
                reply = send(address, message, leftMs);
            } catch (RuntimeException e) {
                reply = Either.left(Failure.of(ErrorKind.INTERNAL, "The request to the ledger host failed: " + e));
            }
        }
        return reply;
    }

    private @Nullable HostReply poll(BlockingQueue<HostReply> replies, double endMs) {
        HostReply ready = replies.poll();
        if (ready != null) {
            return ready;
        }
        try {
            return replies.poll((long) (1_000 * (endMs - clock.monotonicMs())), TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            // An interrupt ends the wait like a timeout; the caller sees the interrupt flag.
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private static Either<Failure, LedgerReply> decode(byte[] payload) {
        try {
            return Either.right(MessageCodec.decodeReply(payload));
        } catch (LedgerCodec.MalformedException e) {
            return Either.left(Failure.of(ErrorKind.INTERNAL, "The reply of the ledger host is malformed: " + e));
        }
    }
}
