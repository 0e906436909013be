package org.sequoianotch.daemon.explain;

import io.vavr.control.Either;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;

/**
 * A query that a node sends to another node on behalf of an operator.
 *
 * <p>Implementations are immutable.
 */
public sealed interface NodeQuery {
    /**
     * Queries the timeline of a request.
     *
     * @param requestId the request; not null
     */
    record OfRequest(RequestId requestId) implements NodeQuery {}

    /**
     * Queries the request counts of a service.
     *
     * @param service the service; not null
     * @param sinceMs length of the period that ends now, in milliseconds; not negative
     */
    record OfService(ServiceName service, long sinceMs) implements NodeQuery {}

    /** Queries the request counts of the objectives. */
    record OfBurn() implements NodeQuery {}

    /** Queries the load of the node's instances. */
    record OfLoad() implements NodeQuery {}

    /**
     * Encodes the query.
     *
     * @return the payload, never null
     */
    default byte[] encode() {
        return StrictCodec.encode(this::pack);
    }

    private void pack(MessagePacker packer) throws IOException {
        switch (this) {
            case OfRequest request -> packer.packArrayHeader(3)
                    .packInt(0)
                    .packLong(request.requestId().high())
                    .packLong(request.requestId().low());
            case OfService service -> packer.packArrayHeader(3)
                    .packInt(1)
                    .packString(service.service().name())
                    .packLong(service.sinceMs());
            case OfBurn burn -> packer.packArrayHeader(1).packInt(2);
            case OfLoad load -> packer.packArrayHeader(1).packInt(3);
        }
    }

    /**
     * Decodes a query.
     *
     * @param payload the payload; not null
     * @return the query, or the failure if the payload is malformed
     */
    static Either<Failure, NodeQuery> decode(byte[] payload) {
        return StrictCodec.decode(payload, NodeQuery::unpack);
    }

    private static NodeQuery unpack(MessageUnpacker unpacker) throws IOException {
        int components = unpacker.unpackArrayHeader();
        int type = unpacker.unpackInt();
        int expected = type < 2 ? 3 : 1;
        if (components != expected) {
            throw new IOException(
                    "a query of type " + type + " has " + components + " components instead of " + expected);
        }
        return switch (type) {
            case 0 -> new OfRequest(new RequestId(unpacker.unpackLong(), unpacker.unpackLong()));
            case 1 -> new OfService(ServiceName.of(unpacker.unpackString()), StrictCodec.unpackNonNegative(unpacker));
            case 2 -> new OfBurn();
            case 3 -> new OfLoad();
            default -> throw new IOException("unknown query type " + type);
        };
    }
}
