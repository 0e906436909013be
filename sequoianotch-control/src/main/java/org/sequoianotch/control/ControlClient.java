package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import org.sequoianotch.control.codec.Decoder;
import org.sequoianotch.control.state.ChangeRequest;
import org.sequoianotch.control.state.ChangeResult;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;

/**
 * Submits changes to the control group and reads from it, on a node that is not a control host.
 *
 * <p>This class is thread-safe.
 */
public final class ControlClient {
    private final PeerRequester requester;
    private final List<String> controlAddresses;
    private final long timeoutMs;

    /**
     * Creates a client.
     *
     * @param requester sends requests to other hosts; not null
     * @param controlAddresses addresses of the control hosts' peer listeners, in order of preference; not null
     * @param timeoutMs maximum wait for each control host, in milliseconds; positive
     */
    public ControlClient(PeerRequester requester, List<String> controlAddresses, long timeoutMs) {
        this.requester = Objects.requireNonNull(requester, "requester");
        this.controlAddresses = List.copyOf(controlAddresses);
        this.timeoutMs = timeoutMs;
    }

    /**
     * Applies a change. A request that fails is sent again to the next control host; the change id makes the resend
     * idempotent.
     *
     * @param request the change; not null
     * @return the result, or a failure after which the change may or may not be accepted
     */
    public Either<Failure, ChangeResult> apply(ChangeRequest request) {
        return request(new ControlRequest.Change(true, request)).map(ChangeResult::of);
    }

    /**
     * Reads the current templates from the leader.
     *
     * @return the templates, or the failure if no leader with a majority is reachable
     */
    public Either<Failure, TemplateTexts> read() {
        return request(new ControlRequest.Read(true)).map(bytes -> TemplateTexts.decode(new Decoder(bytes)));
    }

    private Either<Failure, byte[]> request(ControlRequest request) {
        Either<Failure, byte[]> response =
                Either.left(ControlError.NO_LEADER.failure("No control host is configured."));
        for (String address : controlAddresses) {
            response = requester
                    .request(address, Topic.CONTROL, request.toBytes(), timeoutMs)
                    .mapLeft(failure -> ControlError.ANSWER_LOST.failure(
                            "The request to control host " + address + " failed: " + failure.detail()))
                    .flatMap(ControlRequest::decodeResponse);
            if (response.isRight()) {
                return response;
            }
        }
        return response;
    }
}
