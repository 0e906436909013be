package org.sequoianotch.daemon.admin;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sequoianotch.daemon.explain.NodeQuery;
import org.sequoianotch.error.Failure;
import org.sequoianotch.membership.Member;
import org.sequoianotch.membership.MembershipView;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.time.Clock;

/**
 * Sends a query to all reachable members in parallel and collects the responses that arrive before a timeout.
 *
 * <p>This class is thread-safe.
 */
final class NodeQueryClient {
    /**
     * Limit of concurrent queries. Each may open a link, and 630 concurrent handshakes would occupy a whole core for
     * some time.
     */
    private static final int MAX_PARALLEL = 32;

    private final HostId ownHost;
    private final Supplier<MembershipView> view;
    private final PeerRequester requester;
    private final Clock clock;
    private final long timeoutMs;

    NodeQueryClient(
            HostId ownHost, Supplier<MembershipView> view, PeerRequester requester, Clock clock, long timeoutMs) {
        this.ownHost = ownHost;
        this.view = view;
        this.requester = requester;
        this.clock = clock;
        this.timeoutMs = timeoutMs;
    }

    /** Queries all reachable members but this node, whose response the caller supplies. */
    <T> NodeResponses<T> queryAll(NodeQuery query, T ownResponse, Function<byte[], Either<Failure, T>> decoder)
            throws InterruptedException {
        NodeResponses<T> responses = new NodeResponses<>(new TreeMap<>(), new TreeMap<>());
        responses.byHost().put(ownHost, ownResponse);
        double deadlineMs = clock.monotonicMs() + timeoutMs;
        byte[] payload = query.encode();
        Semaphore permits = new Semaphore(MAX_PARALLEL);
        List<Thread> threads = new ArrayList<>();
        for (Member member : view.get().members()) {
            if (member.state().isReachable() && !member.host().equals(ownHost)) {
                threads.add(Thread.ofVirtual().name("query-" + member.host()).start(() -> {
                    Either<String, T> response = queryOne(member, payload, deadlineMs, permits)
                            .flatMap(bytes -> decoder.apply(bytes).mapLeft(Failure::detail));
                    addResponse(responses, member.host(), response);
                }));
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return responses;
    }

    private static <T> void addResponse(NodeResponses<T> responses, HostId host, Either<String, T> response) {
        synchronized (responses) {
            response.peek(value -> responses.byHost().put(host, value))
                    .peekLeft(reason -> responses.failures().put(host, reason));
        }
    }

    private Either<String, byte[]> queryOne(Member member, byte[] payload, double deadlineMs, Semaphore permits) {
        try {
            if (!permits.tryAcquire(remainingMs(deadlineMs), TimeUnit.MILLISECONDS)) {
                return Either.left("The query was not sent within the timeout of " + timeoutMs + " ms.");
            }
            try {
                return requester
                        .request(member.peerAddress(), Topic.EXPLAIN, payload, remainingMs(deadlineMs))
                        .mapLeft(Failure::detail);
            } finally {
                permits.release();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left("The query was interrupted.");
        }
    }

    private long remainingMs(double deadlineMs) {
        return Math.max(1, (long) (deadlineMs - clock.monotonicMs()));
    }
}
