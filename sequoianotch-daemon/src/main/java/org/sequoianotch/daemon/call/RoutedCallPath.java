package org.sequoianotch.daemon.call;

import io.netty.util.Timer;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.ledger.NoLedger;
import org.sequoianotch.protocol.link.CallHandler;
import org.sequoianotch.protocol.link.PeerNetwork;
import org.sequoianotch.route.RouteTable;
import org.sequoianotch.time.Clock;

/**
 * The request path of a node that routes by a route table: creates the handlers of the caller listener and the peer
 * listener.
 *
 * <p>This class is thread-safe.
 */
public final class RoutedCallPath {
    /** Mean size of the responses in the deployments; most requests have no body, so responses are the volume. */
    private static final long ASSUMED_RESPONSE_BYTES = 5_000;

    private final ContextRegistry contexts = new ContextRegistry();
    private final InstanceServer server;
    private final RouteHandler callerHandler;

    /**
     * Creates the handlers.
     *
     * @param dependencies the objects that the handlers use; not null
     */
    public RoutedCallPath(Dependencies dependencies) {
        server = new InstanceServer(
                dependencies.instances(),
                contexts,
                dependencies.recorder(),
                dependencies.clock(),
                dependencies.timer(),
                dependencies.backendHeaderCodec());
        AttemptRunner attempts = new AttemptRunner(
                dependencies.location(),
                dependencies.network(),
                server,
                dependencies.policies(),
                dependencies.recorder(),
                dependencies.clock());
        CallForwarder forwarder = new CallForwarder(
                dependencies.directory(),
                dependencies.policies(),
                attempts,
                dependencies.recorder(),
                dependencies.clock(),
                ASSUMED_RESPONSE_BYTES);
        RequestRunner runner = new RequestRunner(
                forwarder,
                new NoLedger(),
                List.of(),
                dependencies.recorder(),
                dependencies.clock(),
                dependencies.callerHeaderCodec()::refusal);
        callerHandler = new RouteHandler(
                dependencies.tables(),
                dependencies.limits(),
                dependencies.callerHeaderCodec(),
                runner,
                contexts,
                dependencies.recorder(),
                dependencies.clock(),
                dependencies.timer(),
                dependencies.random());
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
     * Refuses from now on the requests of callers that may take longer than this node runs. A request that was taken
     * and cannot be finished would end without a response.
     *
     * @param stopsAtMs end of this node on the monotonic clock, in milliseconds
     */
    public void stopAt(double stopsAtMs) {
        callerHandler.stopAt(stopsAtMs);
    }

    /** Responds to the requests of callers that are still open, whose outcome is unknown. */
    public void endOpenRequests() {
        callerHandler.cancelOpenRequests(new Cancellation(
                CancelCause.NODE_STOPPED, "The node is being stopped, and its time for open requests is over."));
    }

    /**
     * Returns the number of requests that have a call open at the instance on this host.
     *
     * @return the number; not negative
     */
    public int openCalls() {
        return contexts.size();
    }

    /**
     * The objects that the handlers use.
     *
     * @param location location of this node; not null
     * @param tables the route table in force; not null
     * @param limits limits of the services; not null
     * @param callerHeaderCodec reads the headers of callers; not null
     * @param backendHeaderCodec writes and reads the headers of backend servers; not null
     * @param instances the instances on this host; not null
     * @param network links with other nodes; not null
     * @param directory looks up the instances of a service; not null
     * @param policies policies for each service; not null
     * @param recorder records the events of requests; not null
     * @param clock the clock; not null
     * @param timer ends requests at their deadline; not null
     * @param random source of randomness, safe for several threads; not null
     */
    public record Dependencies(
            NodeLocation location,
            Supplier<RouteTable> tables,
            RouteLimits limits,
            CallerHeaderCodec callerHeaderCodec,
            BackendHeaderCodec backendHeaderCodec,
            LocalInstances instances,
            PeerNetwork network,
            InstanceDirectory directory,
            ServicePolicies policies,
            RequestRecorder recorder,
            Clock clock,
            Timer timer,
            RandomGenerator random) {}
}
