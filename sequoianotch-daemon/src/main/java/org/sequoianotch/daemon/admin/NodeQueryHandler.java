package org.sequoianotch.daemon.admin;

import io.vavr.control.Either;
import org.sequoianotch.daemon.explain.NodeQuery;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.link.PeerRequestHandler;

/**
 * Handles the operator queries that other nodes forward to this node.
 *
 * <p>This class is thread-safe.
 */
public final class NodeQueryHandler implements PeerRequestHandler {
    private final AdminDependencies dependencies;

    /**
     * Creates the handler.
     *
     * @param dependencies the components of this node that are queried; not null
     */
    public NodeQueryHandler(AdminDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Override
    public Either<Failure, byte[]> handle(HostId from, byte[] payload) {
        return NodeQuery.decode(payload).map(this::respond);
    }

    private byte[] respond(NodeQuery query) {
        return switch (query) {
            case NodeQuery.OfRequest request -> dependencies
                    .journal()
                    .timeline(request.requestId())
                    .encode();
            case NodeQuery.OfService service -> dependencies
                    .serviceCounters()
                    .summary(service.service(), service.sinceMs())
                    .encode();
            case NodeQuery.OfBurn burn -> dependencies.burnCounters().report().encode();
            case NodeQuery.OfLoad load -> dependencies.load().get().encode();
        };
    }
}
