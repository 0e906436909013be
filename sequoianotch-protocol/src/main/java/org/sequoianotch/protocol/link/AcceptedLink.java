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
import org.sequoianotch.protocol.AnswerTrailer;
import org.sequoianotch.protocol.Frame;
import org.sequoianotch.protocol.FrameFormatException;
import org.sequoianotch.task.TaskThreads;

/** Link that a peer opened; its calls and questions come in on it. */
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
            case Frame.CallStart f -> start(f);
            case Frame.Body f -> {
                ServedCall call = find(f.callId());
                if (call != null) {
                    call.bodyPart(f.bytes());
                }
            }
            case Frame.BodyEnd f -> {
                ServedCall call = find(f.callId());
                if (call != null) {
                    call.bodyEnded();
                }
            }
            case Frame.Window f -> {
                ServedCall call = find(f.callId());
                if (call != null) {
                    call.granted(f.bytes());
                }
            }
            case Frame.Cancel f -> {
                ServedCall call = find(f.callId());
                if (call != null) {
                    call.cancel(
                            Failure.of(ErrorKind.CALLER_GONE, "Host " + peer() + " cancelled the call: " + f.reason()));
                }
            }
            case Frame.Ask f -> TaskThreads.start("ask", () -> answer(f));
            case Frame.GoAway f -> LOG.info("[peer] Host {} is leaving: {}", peer(), f.reason());
            default -> throw new ProtocolViolationException(
                    "the connecting side sent " + frame.getClass().getSimpleName());
        }
    }

    private void start(Frame.CallStart start) throws ProtocolViolationException {
        if (start.callId() <= lastCallId) {
            throw new ProtocolViolationException("call id " + start.callId() + " is not new");
        }
        lastCallId = start.callId();
        String leaving = listener.goAwayReason();
        if (leaving != null) {
            sendSmall(new Frame.Refused(
                    start.callId(),
                    Failure.of(ErrorKind.DRAINING, "Host " + context().options().host() + " is leaving: " + leaving),
                    new AnswerTrailer(start.header().retryShare(), new LoadReport(0, 1, 0, 0))));
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
                LOG.error("[peer] The handler left a call from {} without an answer", peer());
                refuseInternal(call, "The call was left without an answer.");
            }
        } catch (RuntimeException | Error e) {
            LOG.error("[peer] The handler of a call from {} failed", peer(), e);
            refuseInternal(call, "The handler of the call failed.");
        }
    }

    private static void refuseInternal(ServedCall call, String detail) {
        call.refuse(Failure.of(ErrorKind.INTERNAL, detail), new AnswerTrailer(0, new LoadReport(0, 1, 0, 0)));
    }

    private void answer(Frame.Ask ask) {
        Either<Failure, byte[]> answer;
        try {
            AskHandler handler = listener.askHandler(ask.topic());
            answer = handler == null
                    ? Either.left(
                            Failure.of(ErrorKind.NO_INSTANCE, "This node answers no questions on " + ask.topic() + "."))
                    : handler.handle(peer(), ask.payload());
        } catch (RuntimeException | Error e) {
            LOG.error("[peer] The handler of a question on {} from {} failed", ask.topic(), peer(), e);
            answer = Either.left(Failure.of(ErrorKind.INTERNAL, "The handler of the question failed."));
        }
        reply(ask, answer);
    }

    private void reply(Frame.Ask ask, Either<Failure, byte[]> answer) {
        try {
            send(answer.fold(
                    failure -> new Frame.AskFailed(ask.askId(), shorten(failure)),
                    payload -> new Frame.Reply(ask.askId(), payload)));
        } catch (FrameFormatException e) {
            LOG.error("[peer] The reply to a question on {} from {} is too large", ask.topic(), peer(), e);
            sendSmall(new Frame.AskFailed(
                    ask.askId(), Failure.of(ErrorKind.INTERNAL, "The reply is too large: " + e.getMessage())));
        }
    }

    private @Nullable ServedCall find(long callId) {
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
