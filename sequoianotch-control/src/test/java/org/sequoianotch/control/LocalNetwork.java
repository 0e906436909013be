package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.FrameCodec;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequestHandler;
import org.sequoianotch.protocol.link.PeerRequester;

/** In-process network between hosts, whose addresses are their names. */
final class LocalNetwork {
    final Set<String> isolatedHosts = ConcurrentHashMap.newKeySet();
    /** Hosts whose next response to a change is lost after the change was applied. */
    final Set<String> hostsLosingChangeResponses = ConcurrentHashMap.newKeySet();

    /** Links, written as {@code from>to}, whose next request ends with an unexpected exception. */
    final Set<String> linksThrowingOnce = ConcurrentHashMap.newKeySet();

    final AtomicLong byteCount = new AtomicLong();
    final AtomicLong requestCount = new AtomicLong();
    private final Map<String, PeerRequestHandler> handlers = new ConcurrentHashMap<>();

    void register(String address, PeerRequestHandler handler) {
        handlers.put(address, handler);
    }

    void unregister(String address) {
        handlers.remove(address);
    }

    PeerRequester requester(String from) {
        return (address, topic, payload, timeoutMs) -> {
            if (linksThrowingOnce.remove(from + ">" + address)) {
                throw new IllegalStateException("an unexpected exception of the network");
            }
            PeerRequestHandler handler = handlers.get(address);
            boolean cut = !from.equals(address) && (isolatedHosts.contains(from) || isolatedHosts.contains(address));
            if (handler == null || cut || topic != Topic.CONTROL) {
                return Either.left(Failure.of(ErrorKind.NO_INSTANCE, address + " is unreachable"));
            }
            if (payload.length > FrameCodec.MAX_FRAME_BYTES) {
                return Either.left(Failure.of(ErrorKind.BAD_REQUEST, "The request is too large"));
            }
            Either<Failure, byte[]> response = handler.handle(HostId.of(from), payload);
            requestCount.incrementAndGet();
            byteCount.addAndGet(
                    payload.length + response.map(received -> received.length).getOrElse(0));
            if (ControlRequest.of(payload) instanceof ControlRequest.Change
                    && hostsLosingChangeResponses.remove(address)) {
                return Either.left(Failure.of(ErrorKind.CONNECTION_LOST, "the response was lost"));
            }
            return response;
        };
    }
}
