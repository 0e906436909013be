package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameFormatException;
import org.sequoianotch.protocol.ResponseTrailer;
import org.sequoianotch.task.TaskThreads;

/** Link that a peer opened, for incoming calls and peer requests. */
final class AcceptedLink extends Link {
    private static final Logger LOG = LogManager.getLogger(AcceptedLink.class);

    private final PeerListener listener;
    private final Map<Long, ServedCall> calls = new ConcurrentHashMap<>();
    private long lastCallId;

    AcceptedLink(FrameChannel channel, HostId peer, LinkContext context, PeerListener listener) {
        super(channel, peer, context);
        this.listener = listener;
    }

    int openCalls() {
        return calls.size();
    }

    void remove(long callId) {
        calls.remove(callId);
    }

    @Override
    void dispatch(Frame frame) throws ProtocolViolationException {
        switch (frame) {
            case Frame.CallStart f -> startCall(f);
            case Frame.Body f -> {
                ServedCall call = findCall(f.callId());
                if (call != null) {
                    call.bodyPart(f.bytes());
                }
            }
            case Frame.BodyEnd f -> {
                ServedCall call = findCall(f.callId());
                if (call != null) {
                    call.bodyEnded();
                }
            }
            case Frame.Window f -> {
                ServedCall call = findCall(f.callId());
                if (call != null) {
                    call.windowGranted(f.bytes());
                }
            }
            case Frame.Cancel f -> {
                ServedCall call = findCall(f.callId());
                if (call != null) {
                    call.cancel(Failure.of(
                            ErrorKind.CALL_CANCELLED, "Host " + peer() + " cancelled the call: " + f.reason()));
                }
            }
            case Frame.PeerRequest f -> TaskThreads.start("peer-request", () -> handleRequest(f));
            case Frame.GoAway f -> LOG.info("[peer] Host {} accepts no new calls: {}", peer(), f.reason());
            default -> throw new ProtocolViolationException("unexpected frame from the connecting side: "
                    + frame.getClass().getSimpleName());
        }
    }

    private void startCall(Frame.CallStart start) throws ProtocolViolationException {
        if (start.callId() <= lastCallId) {
            throw new ProtocolViolationException(
                    "call id " + start.callId() + " is not higher than the last call id " + lastCallId);
        }
        lastCallId = start.callId();
        String goAwayReason = listener.goAwayReason();
        if (goAwayReason != null) {
            sendSmall(new Frame.Refused(
                    start.callId(),
                    Failure.of(
                            ErrorKind.DRAINING,
                            "Host " + context().options().host() + " accepts no new calls: " + goAwayReason),
                    new ResponseTrailer(start.header().retryShare(), new LoadReport(0, 1, 0, 0))));
            return;
        }
        ServedCall call = new ServedCall(start.callId(), start.header(), this);
        calls.put(start.callId(), call);
        TaskThreads.start("call", () -> serve(call));
    }

    private void serve(ServedCall call) {
        try {
            listener.callHandler().handle(call);
            if (call.isOpen()) {
                LOG.error(
                        "[peer] The handler of a call from {} for request {} returned without a response",
                        peer(),
                        call.header().requestId());
                refuseInternal(call, "The handler of the call returned without a response.");
            }
        } catch (RuntimeException | Error e) {
            LOG.error(
                    "[peer] The handler of a call from {} for request {} failed",
                    peer(),
                    call.header().requestId(),
                    e);
            refuseInternal(call, "The handler of the call failed.");
        }
    }

    private static void refuseInternal(ServedCall call, String detail) {
        call.refuse(Failure.of(ErrorKind.INTERNAL, detail), new ResponseTrailer(0, new LoadReport(0, 1, 0, 0)));
    }

    private void handleRequest(Frame.PeerRequest request) {
        Either<Failure, byte[]> response;
        try {
            PeerRequestHandler handler = listener.requestHandler(request.topic());
            response = handler == null
                    ? Either.left(Failure.of(
                            ErrorKind.NO_INSTANCE, "This node has no handler for requests on " + request.topic() + "."))
                    : handler.handle(peer(), request.payload());
        } catch (RuntimeException | Error e) {
            LOG.error("[peer] The handler of a request on {} from {} failed", request.topic(), peer(), e);
            response = Either.left(Failure.of(ErrorKind.INTERNAL, "The handler of the request failed."));
        }
        sendResponse(request, response);
    }

    private void sendResponse(Frame.PeerRequest request, Either<Failure, byte[]> response) {
        try {
            send(response.fold(
                    failure -> new Frame.PeerRequestFailed(request.peerRequestId(), shorten(failure)),
                    payload -> new Frame.PeerResponse(request.peerRequestId(), payload)));
        } catch (FrameFormatException e) {
            LOG.error("[peer] The response to a request on {} from {} is too large", request.topic(), peer(), e);
            sendSmall(new Frame.PeerRequestFailed(
                    request.peerRequestId(),
                    Failure.of(ErrorKind.INTERNAL, "The response is too large: " + e.getMessage())));
        }
    }

    private @Nullable ServedCall findCall(long callId) {
        ServedCall call = calls.get(callId);
        if (call == null) {
            context().counters().countUnknownCallFrame();
        }
        return call;
    }

    @Override
    void endAll(Failure failure) {
        calls.values().forEach(call -> call.cancel(failure));
    }
}
