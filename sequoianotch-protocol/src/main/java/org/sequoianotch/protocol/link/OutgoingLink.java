package org.sequoianotch.protocol.link;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameCodec;
import org.sequoianotch.protocol.FrameFormatException;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.task.Promise;

/**
 * Link that this node opened, for outgoing calls and peer requests.
 *
 * <p>This class is thread-safe.
 */
final class OutgoingLink extends Link {
    private static final Logger LOG = LogManager.getLogger(OutgoingLink.class);

    private final Map<Long, OutgoingCall> calls = new ConcurrentHashMap<>();
    private final Map<Long, Promise<Either<Failure, byte[]>>> pendingRequests = new ConcurrentHashMap<>();
    private final ReentrantLock openLock = new ReentrantLock();
    private final AtomicLong lastPeerRequestId = new AtomicLong();
    private long lastCallId;
    private volatile @Nullable String goAwayReason;
    private volatile double lastUsedMs;
    private volatile boolean retired;

    OutgoingLink(FrameChannel channel, HostId peer, LinkContext context) {
        super(channel, peer, context);
        lastUsedMs = context.clock().monotonicMs();
    }

    /**
     * Closes the link if it has no open call or request and none was opened for the given time. After that, new calls
     * and requests fail.
     */
    boolean retireIfIdle(long idleMs) {
        openLock.lock();
        try {
            boolean idle = calls.isEmpty()
                    && pendingRequests.isEmpty()
                    && context().clock().monotonicMs() - lastUsedMs > idleMs;
            if (!idle || retired) {
                return false;
            }
            retired = true;
        } finally {
            openLock.unlock();
        }
        close("it was idle for more than " + idleMs + " ms");
        return true;
    }

    boolean isRetired() {
        return retired;
    }

    private Failure retiredFailure() {
        return Failure.of(ErrorKind.NO_INSTANCE, "The link with host " + peer() + " was closed because it was idle.");
    }

    Either<Failure, PeerCall> open(CallHeader header) {
        String reason = goAwayReason;
        if (reason != null) {
            return Either.left(Failure.of(ErrorKind.DRAINING, "Host " + peer() + " accepts no new calls: " + reason));
        }
        OutgoingCall call;
        // The lock keeps call ids in ascending order on the wire; the peer rejects an id that is not new.
        openLock.lock();
        try {
            if (retired) {
                return Either.left(retiredFailure());
            }
            lastUsedMs = context().clock().monotonicMs();
            long callId = lastCallId + 1;
            ByteBuf start = FrameCodec.encodeWithPrefix(new Frame.CallStart(callId, header));
            lastCallId = callId;
            call = new OutgoingCall(callId, this);
            calls.put(callId, call);
            sendEncoded(start);
        } catch (FrameFormatException e) {
            return Either.left(
                    Failure.of(ErrorKind.BAD_REQUEST, "The head of the call is too large: " + e.getMessage()));
        } finally {
            openLock.unlock();
        }
        if (hasEnded()) {
            call.end(lostFailure());
        }
        return Either.right(call);
    }

    Either<Failure, byte[]> request(Topic topic, byte[] payload, long timeoutMs) {
        long peerRequestId = lastPeerRequestId.incrementAndGet();
        Promise<Either<Failure, byte[]>> result = new Promise<>();
        openLock.lock();
        try {
            if (retired) {
                return Either.left(retiredFailure());
            }
            lastUsedMs = context().clock().monotonicMs();
            pendingRequests.put(peerRequestId, result);
        } finally {
            openLock.unlock();
        }
        try {
            send(new Frame.PeerRequest(peerRequestId, topic, payload));
            if (hasEnded()) {
                return Either.left(lostFailure());
            }
            return result.await(timeoutMs)
                    .orElseGet(() -> Either.left(Failure.of(
                            ErrorKind.DEADLINE_IN_DOUBT,
                            "Host " + peer() + " did not respond to a request on " + topic + " within " + timeoutMs
                                    + " ms.")));
        } catch (FrameFormatException e) {
            return Either.left(Failure.of(ErrorKind.BAD_REQUEST, "The request is too large: " + e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(
                    Failure.of(ErrorKind.INTERNAL, "Interrupted while waiting for the response to a peer request."));
        } finally {
            pendingRequests.remove(peerRequestId);
        }
    }

    void remove(long callId) {
        calls.remove(callId);
    }

    @Override
    void dispatch(Frame frame) throws ProtocolViolationException {
        switch (frame) {
            case Frame.ResponseStart f -> {
                OutgoingCall call = findCall(f.callId());
                if (call != null) {
                    call.responseStarted(f.header());
                }
            }
            case Frame.ResponseBody f -> {
                OutgoingCall call = findCall(f.callId());
                if (call != null) {
                    call.responsePart(f.bytes());
                }
            }
            case Frame.ResponseEnd f -> {
                OutgoingCall call = findCall(f.callId());
                if (call != null) {
                    call.responseEnded(f.trailer());
                }
            }
            case Frame.Refused f -> {
                OutgoingCall call = findCall(f.callId());
                if (call != null) {
                    call.refused(f.failure(), f.trailer());
                }
            }
            case Frame.Window f -> {
                OutgoingCall call = findCall(f.callId());
                if (call != null) {
                    call.windowGranted(f.bytes());
                }
            }
            case Frame.PeerResponse f -> completeRequest(f.peerRequestId(), Either.right(f.payload()));
            case Frame.PeerRequestFailed f -> completeRequest(f.peerRequestId(), Either.left(f.failure()));
            case Frame.GoAway f -> {
                LOG.info("[peer] Host {} accepts no new calls on this link: {}", peer(), f.reason());
                goAwayReason = f.reason();
            }
            default -> throw new ProtocolViolationException("unexpected frame from the accepting side: "
                    + frame.getClass().getSimpleName());
        }
    }

    private @Nullable OutgoingCall findCall(long callId) {
        OutgoingCall call = calls.get(callId);
        if (call == null) {
            context().counters().countUnknownCallFrame();
        }
        return call;
    }

    private void completeRequest(long peerRequestId, Either<Failure, byte[]> response) {
        Promise<Either<Failure, byte[]>> request = pendingRequests.get(peerRequestId);
        if (request == null) {
            context().counters().countUnknownCallFrame();
        } else {
            request.set(response);
        }
    }

    @Override
    void endAll(Failure failure) {
        calls.values().forEach(call -> call.end(failure));
        pendingRequests.values().forEach(request -> request.set(Either.left(failure)));
    }
}
