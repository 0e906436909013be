package org.sequoianotch.daemon.call;

import io.netty.util.Timer;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.http.ProblemResponse;
import org.sequoianotch.daemon.ledger.Ledger;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.protocol.link.CallHandler;
import org.sequoianotch.protocol.link.PeerNetwork;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.Clock;

/**
 * The request path of a node: creates the handlers of the caller listener, the backend listener and the peer listener.
 *
 * <p>This class is thread-safe.
 */
public final class CallPath {
    private final ContextRegistry contexts = new ContextRegistry();
    private final LocalInstances instances;
    private final InstanceServer server;
    private final CallerHandler callerHandler;
    private final BackendHandler backendHandler;

    /**
     * Creates the handlers.
     *
     * @param dependencies the objects that all handlers share; not null
     * @param instances the instances on this host; not null
     * @param network the links to other nodes; not null
     * @param directory looks up the instances of a service; not null
     * @param policies the policies for each service; not null
     * @param ledger grants idempotency keys; not null
     */
    public CallPath(
            Dependencies dependencies,
            LocalInstances instances,
            PeerNetwork network,
            InstanceDirectory directory,
            ServicePolicies policies,
            Ledger ledger) {
        this.instances = instances;
        Clock clock = dependencies.clock();
        RequestRecorder recorder = dependencies.recorder();
        server = new InstanceServer(
                instances,
                contexts,
                recorder,
                clock,
                dependencies.timer(),
                new TraceHeaderCodec(dependencies.random()));
        AttemptRunner attempts = new AttemptRunner(dependencies.location(), network, server, policies, recorder, clock);
        CallForwarder forwarder = new CallForwarder(directory, policies, attempts, recorder, clock, 0);
        RequestRunner runner = new RequestRunner(
                forwarder, ledger, dependencies.ledgerDataCentres(), recorder, clock, ProblemResponse::of);
        CallResolver callResolver = new CallResolver(dependencies.templates());
        callerHandler = new CallerHandler(callResolver, runner, ledger, dependencies);
        backendHandler = new BackendHandler(callResolver, runner, contexts, instances, clock);
    }

    /**
     * Returns the handler of the caller listener.
     *
     * @return the handler, never null
     */
    public HttpHandler callerHandler() {
        return callerHandler;
    }

    /**
     * Returns the handler of the backend listener.
     *
     * @return the handler, never null
     */
    public HttpHandler backendHandler() {
        return backendHandler;
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
     * Returns the number of requests that are open at this host's backend server.
     *
     * @return the number; not negative
     */
    public int openRequests() {
        return contexts.size();
    }

    /**
     * Returns the instances on this host.
     *
     * @return the instances, never null
     */
    public LocalInstances instances() {
        return instances;
    }

    /**
     * The objects that the handlers share.
     *
     * @param location location of this node; not null
     * @param templates the templates in force; not null
     * @param recorder records the events of requests; not null
     * @param clock the clock; not null
     * @param timer ends requests at their deadline; not null
     * @param random source of randomness, safe for several threads; not null
     * @param ledgerDataCentres data centres that have a ledger; not null, not empty
     * @param ledgerEpoch epoch that new keys are minted with; positive
     */
    public record Dependencies(
            NodeLocation location,
            Supplier<TemplateSet> templates,
            RequestRecorder recorder,
            Clock clock,
            Timer timer,
            RandomGenerator random,
            List<DataCentre> ledgerDataCentres,
            long ledgerEpoch) {
        /** Copies the list of data centres. */
        public Dependencies {
            ledgerDataCentres = List.copyOf(ledgerDataCentres);
        }

        /**
         * Returns the home data centre of keys that are minted on this node.
         *
         * @return the node's own data centre if it has a ledger, otherwise the first that has one; never null
         */
        public DataCentre homeOfNewKeys() {
            return ledgerDataCentres.contains(location.dataCentre()) ? location.dataCentre() : ledgerDataCentres.get(0);
        }
    }
}
