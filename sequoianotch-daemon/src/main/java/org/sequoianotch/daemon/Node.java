package org.sequoianotch.daemon;

import io.netty.util.HashedWheelTimer;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.daemon.admin.TemplateChangeService;
import org.sequoianotch.daemon.call.BackendOptions;
import org.sequoianotch.daemon.call.CallPath;
import org.sequoianotch.daemon.call.LocalInstances;
import org.sequoianotch.daemon.call.NodeLocation;
import org.sequoianotch.daemon.call.ServicePolicies;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.http.HttpListener;
import org.sequoianotch.daemon.ledger.LedgerHost;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.membership.Membership;
import org.sequoianotch.membership.NettyDatagramTransport;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.policy.retry.SharedRetryLimit;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.LinkCounters;
import org.sequoianotch.protocol.link.LinkOptions;
import org.sequoianotch.protocol.link.PeerLinks;
import org.sequoianotch.protocol.link.PeerListener;
import org.sequoianotch.protocol.link.Transport;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.Clock;
import org.sequoianotch.time.SystemClock;

/**
 * A running node, which creates, starts and stops its components in order.
 *
 * <p>{@link #stop} may be called only once.
 *
 * <p>This class is thread-safe.
 */
public final class Node {
    /** The policy mode {@code known_slots} compares retries and calls over this time. */
    private static final long RETRY_WINDOW_MS = 10_000;

    /** Retries to a service in each window beside its percentage, for all nodes; a few for services with few calls. */
    private static final int RETRY_SLACK = 50;

    private static final Logger LOG = LogManager.getLogger(Node.class);
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long TIMER_TICK_MS = 5;
    private static final long LEASE_CHECK_MS = 200;
    private static final long IDLE_LINK_MS = 60_000;
    private static final long OPEN_CALLS_POLL_MS = 10;

    private final NodeSettings settings;
    private final NodeLocation location;
    private final Clock clock = SystemClock.INSTANCE;
    private final Transport transport = Transport.create(EVENT_LOOP_THREADS);
    private final HashedWheelTimer timer = new HashedWheelTimer(
            Thread.ofPlatform().daemon(true).name("timer").factory(), TIMER_TICK_MS, TimeUnit.MILLISECONDS);
    private final PeerLinks links;
    private final PeerListener peerListener;
    private final Membership membership;
    private final LocalInstances instances;
    private final CallPath callPath;
    private final LedgerComponents ledger;
    private final Optional<ControlComponents> control;
    private final HttpHandler adminHandler;
    private final List<HttpListener> listeners = new ArrayList<>();
    private volatile boolean stopped;

    private Node(NodeSettings settings, TemplateSource templates) {
        this.settings = settings;
        this.location = NodeOptions.location(settings);
        PolicyMode mode = PolicyMode.ofCode(settings.text(NodeSetting.MODE)).orElseThrow();
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        LinkCounters linkCounters = new LinkCounters();
        LinkOptions linkOptions = NodeOptions.links(settings, location);
        OperatorComponents operator = new OperatorComponents(settings, location.host(), templates::current, clock);
        links = new PeerLinks(linkOptions, transport, clock, linkCounters);
        membership = new Membership(
                NodeOptions.membership(settings, location),
                clock,
                random,
                new NettyDatagramTransport(settings.text(NodeSetting.PEER_LISTEN), transport.eventLoops()),
                links);
        instances = new LocalInstances(
                location,
                InetAddress.ofLiteral(settings.text(NodeSetting.BACKEND_HOST_ADDRESS)),
                settings.number(NodeSetting.BACKEND_LEASE_MS),
                mode,
                clock,
                transport.eventLoops(),
                service -> serviceRuleOf(templates.current(), service),
                BackendOptions.STRICT);
        instances.setOnChange(membership::announce);
        templates.addListener(instances::applyTemplates);
        control = ControlComponents.create(settings, location, links, clock, membership, templates);
        ledger = LedgerComponents.open(settings, location, mode, links, clock)
                .getOrElseThrow(failure -> new NodeStartException(failure.detail()));
        CallPath.Dependencies dependencies = new CallPath.Dependencies(
                location,
                templates::current,
                operator.recorder(),
                clock,
                timer,
                random,
                ledger.dataCentres(),
                settings.number(NodeSetting.LEDGER_EPOCH));
        callPath = new CallPath(
                dependencies,
                instances,
                links,
                service -> membership.view().instancesOf(service),
                new ServicePolicies(
                        mode,
                        location,
                        (int) settings.number(NodeSetting.ROUTING_CROSS_REGION_PRICE_MS_PER_KIB),
                        new SharedRetryLimit(
                                RETRY_WINDOW_MS,
                                RETRY_SLACK,
                                () -> membership.view().members().size()),
                        clock,
                        random),
                ledger.ledger());
        peerListener = new PeerListener(linkOptions, transport, clock, linkCounters, callPath.peerHandler());
        links.attach(peerListener);
        peerListener.register(Topic.MEMBERSHIP, membership.requestHandler());
        ledger.host().ifPresent(host -> peerListener.register(Topic.LEDGER, host.requestHandler()));
        control.ifPresent(components -> peerListener.register(Topic.CONTROL, components.requestHandler()));
        adminHandler = operator.attach(
                membership, links, peerListener, callPath, linkCounters, ledger.counters(), templateChangeService());
    }

    private static ServiceRule serviceRuleOf(TemplateSet templates, ServiceName service) {
        return templates
                .templateOf(service)
                .flatMap(template -> template.service(service))
                .orElseGet(() -> ServiceRule.ofDefaults(service));
    }

    private TemplateChangeService templateChangeService() {
        return control.<TemplateChangeService>map(components -> new ControlGroupChangeService(
                        components.client(), components.group().orElse(null)))
                .orElse(TemplateChangeService.NONE);
    }

    /**
     * Starts a node.
     *
     * @param settings the validated settings; not null
     * @param templates the templates in force at the start; not null
     * @return the running node, or the failure that prevented the start
     * @throws InterruptedException if the thread is interrupted while starting
     */
    public static Either<Failure, Node> start(NodeSettings settings, TemplateSource templates)
            throws InterruptedException {
        Node node;
        try {
            node = new Node(settings, templates);
        } catch (NodeStartException e) {
            return Either.left(Failure.of(ErrorKind.INTERNAL, String.valueOf(e.getMessage())));
        }
        Either<Failure, Void> started = node.startComponents();
        if (started.isLeft()) {
            node.close();
            return Either.left(started.getLeft());
        }
        LOG.info(
                "[node] Host {} in data centre {} serves callers at {}.",
                node.location.host(),
                node.location.dataCentre(),
                settings.text(NodeSetting.CALLER_LISTEN));
        return Either.right(node);
    }

    private Either<Failure, Void> startComponents() throws InterruptedException {
        Either<Failure, InetSocketAddress> listening = peerListener.start(settings.text(NodeSetting.PEER_LISTEN));
        if (listening.isLeft()) {
            return Either.left(listening.getLeft());
        }
        Either<Failure, String> joined = membership.start();
        if (joined.isLeft()) {
            return Either.left(joined.getLeft());
        }
        ledger.host().ifPresent(LedgerHost::start);
        try {
            control.ifPresent(ControlComponents::start);
        } catch (NodeStartException e) {
            return Either.left(Failure.of(ErrorKind.INTERNAL, String.valueOf(e.getMessage())));
        }
        Thread.ofVirtual().name("lease-check").start(this::checkLeasesAndLinks);
        return bind("admin", NodeSetting.ADMIN_LISTEN, adminHandler)
                .flatMap(bound -> bind("backend", NodeSetting.BACKEND_LISTEN, callPath.backendHandler()))
                .flatMap(bound -> bind("caller", NodeSetting.CALLER_LISTEN, callPath.callerHandler()));
    }

    private Either<Failure, Void> bind(String name, NodeSetting address, HttpHandler handler) {
        try {
            listeners.add(
                    HttpListener.bind(NodeOptions.listener(settings, name, address), transport.eventLoops(), handler));
            return Either.right(null);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL, "The start was interrupted."));
        } catch (RuntimeException e) {
            return Either.left(Failure.of(
                    ErrorKind.INTERNAL,
                    "The " + name + " listener cannot use " + settings.text(address) + ": " + e.getMessage()));
        }
    }

    private void checkLeasesAndLinks() {
        try {
            while (!stopped) {
                instances.expire();
                links.closeIdleLinks(IDLE_LINK_MS);
                TaskThreads.sleep(LEASE_CHECK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops the node gracefully: announces to the other nodes that it leaves, accepts no new requests, waits until
     * requests in flight have finished, and closes all components.
     *
     * @return true if all requests in flight finished before the shutdown timeout
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean stop() throws InterruptedException {
        LOG.info("[node] Stopping: announcing that this host leaves.");
        double deadlineMs = clock.monotonicMs() + settings.number(NodeSetting.SHUTDOWN_TIMEOUT_MS);
        instances.drain();
        membership.leave();
        links.goAway("the node is being stopped");
        boolean finished = true;
        for (HttpListener listener : listeners.reversed()) {
            finished &= listener.stop((long) Math.max(0, deadlineMs - clock.monotonicMs()));
            if (listener == listeners.getLast()) {
                finished &= awaitOpenCalls(deadlineMs);
            }
        }
        close();
        LOG.info("[node] Stopped; requests in flight {}.", finished ? "finished" : "were cut off by the timeout");
        return finished;
    }

    /** Waits for the calls from other nodes while the backend listener still accepts their sub-calls. */
    private boolean awaitOpenCalls(double deadlineMs) throws InterruptedException {
        while (peerListener.openCalls() > 0) {
            if (clock.monotonicMs() > deadlineMs) {
                return false;
            }
            TaskThreads.sleep(OPEN_CALLS_POLL_MS);
        }
        return true;
    }

    private void close() {
        stopped = true;
        control.ifPresent(ControlComponents::close);
        membership.close();
        links.close();
        peerListener.close();
        ledger.host().ifPresent(LedgerHost::close);
        timer.stop();
        transport.close();
    }
}
