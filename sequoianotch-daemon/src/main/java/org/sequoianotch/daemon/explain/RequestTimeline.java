package org.sequoianotch.daemon.explain;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;

/**
 * The events and the end of a request, as recorded by one node or merged from several nodes.
 *
 * <p>This type is immutable.
 *
 * @param events the events in chronological order; not null
 * @param endOrNull how the request ended, or null if none of the nodes recorded it
 */
public record RequestTimeline(List<TimelineEvent> events, @Nullable RequestEnd endOrNull) {
    /** Timeline of a request that is not known. */
    public static final RequestTimeline EMPTY = new RequestTimeline(List.of(), null);

    private static final int MAX_EVENTS = 1_000;

    /** Copies the events. */
    public RequestTimeline {
        events = List.copyOf(events);
    }

    /**
     * Returns how the request ended.
     *
     * @return the end, or empty if it is not known
     */
    public Optional<RequestEnd> end() {
        return Optional.ofNullable(endOrNull);
    }

    /**
     * Merges the timelines of several nodes by time. Events of the same node with the same time keep their order.
     *
     * @param parts the timelines of the nodes; not null
     * @return the merged timeline, never null
     */
    public static RequestTimeline merge(Collection<RequestTimeline> parts) {
        List<TimelineEvent> all = new ArrayList<>();
        RequestEnd end = null;
        for (RequestTimeline part : parts) {
            all.addAll(part.events);
            end = part.endOrNull == null ? end : part.endOrNull;
        }
        all.sort(Comparator.comparingLong(TimelineEvent::atMs));
        return new RequestTimeline(all, end);
    }

    /**
     * Encodes the timeline for another node.
     *
     * @return the payload, never null
     */
    public byte[] encode() {
        return StrictCodec.encode(packer -> {
            packer.packArrayHeader(2).packArrayHeader(events.size());
            for (TimelineEvent event : events) {
                packer.packArrayHeader(4)
                        .packLong(event.atMs())
                        .packString(event.host().name())
                        .packInt(event.kind().ordinal())
                        .packString(event.description());
            }
            packEnd(packer);
        });
    }

    private void packEnd(MessagePacker packer) throws IOException {
        if (endOrNull == null) {
            packer.packNil();
            return;
        }
        packer.packArrayHeader(7)
                .packString(endOrNull.host().name())
                .packInt(endOrNull.status())
                .packString(endOrNull.error().map(ErrorKind::code).orElse(""))
                .packDouble(endOrNull.latencyMs())
                .packInt(endOrNull.attempts())
                .packLong(endOrNull.revision())
                .packString(endOrNull.rule());
    }

    /**
     * Decodes a timeline.
     *
     * @param payload the payload; not null
     * @return the timeline, or the failure if the payload is malformed
     */
    public static Either<Failure, RequestTimeline> decode(byte[] payload) {
        return StrictCodec.decode(payload, RequestTimeline::unpack);
    }

    private static RequestTimeline unpack(MessageUnpacker unpacker) throws IOException {
        StrictCodec.expectArrayLength(unpacker, 2);
        int count = StrictCodec.unpackListSize(unpacker, MAX_EVENTS);
        List<TimelineEvent> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StrictCodec.expectArrayLength(unpacker, 4);
            events.add(new TimelineEvent(
                    unpacker.unpackLong(),
                    HostId.of(unpacker.unpackString()),
                    StrictCodec.unpackEnum(unpacker, EventKind.values()),
                    unpacker.unpackString()));
        }
        return new RequestTimeline(events, unpacker.tryUnpackNil() ? null : unpackEnd(unpacker));
    }

    private static RequestEnd unpackEnd(MessageUnpacker unpacker) throws IOException {
        StrictCodec.expectArrayLength(unpacker, 7);
        HostId host = HostId.of(unpacker.unpackString());
        int status = unpacker.unpackInt();
        String code = unpacker.unpackString();
        ErrorKind kind = code.isEmpty()
                ? null
                : ErrorKind.ofCode(code).orElseThrow(() -> new IOException("unknown error kind " + code));
        return new RequestEnd(
                host,
                status,
                kind,
                unpacker.unpackDouble(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackString());
    }
}
