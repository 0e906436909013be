package org.sequoianotch.daemon.call;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;
import org.sequoianotch.protocol.link.CallHandler;
import org.sequoianotch.protocol.link.IncomingCall;
import org.sequoianotch.protocol.link.PeerCall;
import org.sequoianotch.task.Promise;
import org.sequoianotch.task.TaskThreads;

/**
 * A call to the instance on the node's own host.
 *
 * <p>It implements both sides of a call without a link in between, so that the serving side runs the same code for
 * local and remote calls.
 */
final class LocalCall implements PeerCall {
    private final BodyPipe requestBody = new BodyPipe();
    private final BodyPipe responseBody = new BodyPipe();
    private final Promise<Either<Failure, ResponseHeader>> head = new Promise<>();
    private final List<Consumer<Failure>> cancelActions = new ArrayList<>();
    private volatile @Nullable ResponseTrailer trailer;
    private @Nullable Failure cancelled;

    private LocalCall() {}

    static LocalCall open(CallHeader header, HostId host, CallHandler handler) {
        LocalCall call = new LocalCall();
        IncomingCall incoming = call.new ServerSide(header, host);
        TaskThreads.start("local-call", () -> handler.handle(incoming));
        return call;
    }

    @Override
    public Either<Failure, Void> writeBody(byte[] bytes) {
        return requestBody.write(bytes);
    }

    @Override
    public Either<Failure, Void> endBody() {
        return requestBody.end();
    }

    @Override
    public Either<Failure, ResponseHeader> awaitResponse(long timeoutMs) {
        try {
            Optional<Either<Failure, ResponseHeader>> result = head.await(timeoutMs);
            if (result.isPresent()) {
                return result.get();
            }
            return Either.left(
                    Failure.of(ErrorKind.DEADLINE_IN_DOUBT, "No response arrived within " + timeoutMs + " ms."));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL, "The thread was interrupted."));
        }
    }

    @Override
    public Either<Failure, Optional<byte[]>> readResponseBody(long timeoutMs) {
        return responseBody.read(timeoutMs);
    }

    @Override
    public Optional<ResponseTrailer> trailer() {
        return Optional.ofNullable(trailer);
    }

    @Override
    public void cancel(String reason) {
        Failure failure = Failure.of(ErrorKind.CALL_CANCELLED, reason);
        List<Consumer<Failure>> actions;
        synchronized (cancelActions) {
            if (cancelled == null) {
                cancelled = failure;
            }
            actions = List.copyOf(cancelActions);
            cancelActions.clear();
        }
        requestBody.fail(failure);
        responseBody.fail(failure);
        head.set(Either.left(failure));
        actions.forEach(action -> action.accept(failure));
    }

    /** The side of the call that the {@link CallHandler} serves. */
    private final class ServerSide implements IncomingCall {
        private final CallHeader header;
        private final HostId host;

        ServerSide(CallHeader header, HostId host) {
            this.header = header;
            this.host = host;
        }

        @Override
        public CallHeader header() {
            return header;
        }

        @Override
        public HostId from() {
            return host;
        }

        @Override
        public Either<Failure, Optional<byte[]>> readBody() {
            return requestBody.read(Long.MAX_VALUE);
        }

        @Override
        public Either<Failure, Void> startResponse(ResponseHeader responseHeader) {
            head.set(Either.right(responseHeader));
            // The serving side does not read the rest of the body, so a sender that waits for space is released.
            requestBody.fail(Failure.of(
                    ErrorKind.CONNECTION_LOST, "The response started before the whole request body was read."));
            return Either.right(null);
        }

        @Override
        public Either<Failure, Void> writeBody(byte[] bytes) {
            return responseBody.write(bytes);
        }

        @Override
        public Either<Failure, Void> endResponse(ResponseTrailer responseTrailer) {
            trailer = responseTrailer;
            return responseBody.end();
        }

        @Override
        public void refuse(Failure failure, ResponseTrailer responseTrailer) {
            trailer = responseTrailer;
            requestBody.fail(failure);
            responseBody.fail(failure);
            head.set(Either.left(failure));
        }

        @Override
        public void onCancel(Consumer<Failure> action) {
            Failure reason;
            synchronized (cancelActions) {
                reason = cancelled;
                if (reason == null) {
                    cancelActions.add(action);
                }
            }
            if (reason != null) {
                action.accept(reason);
            }
        }
    }
}
