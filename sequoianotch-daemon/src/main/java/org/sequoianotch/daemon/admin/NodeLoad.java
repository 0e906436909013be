package org.sequoianotch.daemon.admin;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessageUnpacker;
import org.sequoianotch.daemon.explain.StrictCodec;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.LoadReport;

/**
 * Load of one node, as reported to other nodes.
 *
 * <p>This type is immutable.
 *
 * @param revision revision of the templates in force on the node; not negative
 * @param openRequests requests and sub-calls in progress at the backend server of the host; not negative
 * @param loads load of the node's instances by service name; not null
 */
public record NodeLoad(long revision, int openRequests, Map<String, LoadReport> loads) {
    private static final int MAX_INSTANCES = 1_000;

    /** Copies the map. */
    public NodeLoad {
        loads = Map.copyOf(loads);
    }

    byte[] encode() {
        return StrictCodec.encode(packer -> {
            packer.packArrayHeader(3).packLong(revision).packInt(openRequests).packArrayHeader(loads.size());
            for (Map.Entry<String, LoadReport> entry : loads.entrySet()) {
                LoadReport load = entry.getValue();
                packer.packArrayHeader(5)
                        .packString(entry.getKey())
                        .packInt(load.inFlight())
                        .packInt(load.limit())
                        .packInt(load.queued())
                        .packDouble(load.admissionLevel());
            }
        });
    }

    static Either<Failure, NodeLoad> decode(byte[] payload) {
        return StrictCodec.decode(payload, NodeLoad::unpack);
    }

    private static NodeLoad unpack(MessageUnpacker unpacker) throws IOException {
        StrictCodec.expectArrayLength(unpacker, 3);
        long revision = StrictCodec.unpackNonNegative(unpacker);
        int openRequests = (int) StrictCodec.unpackNonNegative(unpacker);
        int count = StrictCodec.unpackListSize(unpacker, MAX_INSTANCES);
        Map<String, LoadReport> loads = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            StrictCodec.expectArrayLength(unpacker, 5);
            loads.put(
                    unpacker.unpackString(),
                    new LoadReport(
                            unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackDouble()));
        }
        return new NodeLoad(revision, openRequests, loads);
    }
}
