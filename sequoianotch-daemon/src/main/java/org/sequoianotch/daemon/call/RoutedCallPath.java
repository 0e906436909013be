package org.sequoianotch.daemon.call;

import io.netty.util.Timer;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoianotch.daemon.explain.Journal;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.ledger.NoLedger;
import org.sequoianotch.protocol.link.CallHandler;
import org.sequoianotch.protocol.link.PeerNetwork;
import org.sequoianotch.route.RouteTable;
import org.sequoianotch.time.Clock;

/**
 * The way of a request that is routed by a route table, from the caller's connection to an instance and back.
 *
 * <p>This class is thread-safe.
 */
public final class RoutedCallPath {
    /** Mean size of the answers in the deployments; most requests have no body, so their answers are the volume. */
    private static final long ASSUMED_ANSWER_BYTES = 5_000;

    private final ContextRegistry contexts = new ContextRegistry();
    private final InstanceServer server;
    private final RouteHandler callerHandler;

    /**
     * Creates the path.
     *
     * @param parts what the path works with; not null
     */
    public RoutedCallPath(Parts parts) {
        server = new InstanceServer(
                parts.instances(), contexts, parts.journal(), parts.clock(), parts.timer(), parts.backendDialect());
        AttemptRunner attempts = new AttemptRunner(
                parts.place(), parts.network(), server, parts.policies(), parts.journal(), parts.clock());
        CallForwarder forwarder = new CallForwarder(
                parts.directory(), parts.policies(), attempts, parts.journal(), parts.clock(), ASSUMED_ANSWER_BYTES);
        RequestRunner runner = new RequestRunner(
                forwarder, new NoLedger(), List.of(), parts.journal(), parts.clock(), parts.callerDialect()::refusal);
        callerHandler = new RouteHandler(
                parts.tables(),
                parts.limits(),
                parts.callerDialect(),
                runner,
                contexts,
                parts.journal(),
                parts.clock(),
                parts.timer(),
                parts.random());
    }

    /**
     * Returns the handler of requests from callers and from the backend server on this host.
     *
     * @return the handler, never null
     */
    public HttpHandler callerHandler() {
        return callerHandler;
    }

    /**
     * Returns the handler of calls from other nodes.
     *
     * @return the handler, never null
     */
    public CallHandler peerHandler() {
        return server;
    }

    /**
     * Returns how many calls the instance on this host is running.
     *
     * @return the number, not negative
     */
    public int openCalls() {
        return contexts.size();
    }

    /**
     * What the path works with.
     *
     * @param place where this node runs; not null
     * @param tables the route table in force; not null
     * @param limits limits of the services; not null
     * @param callerDialect headers of callers; not null
     * @param backendDialect headers of backend servers; not null
     * @param instances the instances on this host; not null
     * @param network links with other nodes; not null
     * @param directory the instances of each service; not null
     * @param policies decisions for each service; not null
     * @param journal takes down what happens; not null
     * @param clock the clock; not null
     * @param timer ends requests at their deadline; not null
     * @param random source of randomness; not null
     */
    public record Parts(
            HostPlace place,
            Supplier<RouteTable> tables,
            RouteLimits limits,
            CallerDialect callerDialect,
            BackendDialect backendDialect,
            LocalInstances instances,
            PeerNetwork network,
            InstanceDirectory directory,
            ServicePolicies policies,
            Journal journal,
            Clock clock,
            Timer timer,
            RandomGenerator random) {}
}
