package org.sequoianotch.daemon.call;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.http.BackendClient;
import org.sequoianotch.membership.Membership;
import org.sequoianotch.model.BackendState;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.policy.PolicyMode;
import org.sequoianotch.policy.admission.RequestRateLimit;
import org.sequoianotch.template.ServiceRule;
import org.sequoianotch.time.Clock;

/**
 * The instances on this node's host, with their leases, admission control and connections.
 *
 * <p>This class is thread-safe.
 */
public final class LocalInstances {
    private static final Logger LOG = LogManager.getLogger(LocalInstances.class);
    private static final int CONNECT_TIMEOUT_MS = 500;
    /** A host has one backend server with few services. */
    static final int MAX_INSTANCES = Membership.MAX_INSTANCES;
    /** The statements of an instance matter for a minute, in which far fewer instances of one host start. */
    private static final int MAX_NOTICES = 64;

    private final NodeLocation location;
    private final InetAddress backendAddress;
    private final long leaseMs;
    private final PolicyMode mode;
    private final Clock clock;
    private final EventLoopGroup eventLoops;
    private final Function<ServiceName, ServiceRule> rules;
    private final BackendOptions backendOptions;
    private final Map<ServiceName, LocalInstance> instances = new ConcurrentHashMap<>();
    private volatile Consumer<List<Instance>> onChange = changed -> {};
    private final LongAdder requestsSent = new LongAdder();
    private final LongAdder rateRefusals = new LongAdder();
    private final AtomicLong lastNoticeVersion = new AtomicLong();
    /** The notices of the latest incarnations, also after their leases have ended. */
    private final Map<Long, LocalNotice> notices = new LinkedHashMap<>();

    private volatile boolean draining;

    /**
     * Creates an empty set.
     *
     * @param location location of this node; not null
     * @param backendAddress IP address of the backend server; not null
     * @param leaseMs how long an announcement is valid, in milliseconds; positive
     * @param mode the kind of admission control; not null
     * @param clock the clock; not null
     * @param eventLoops event loops that carry the connections to the backend server; not null
     * @param rules limits of each service, looked up at each use; not null
     * @param backendOptions options of the connections to backend servers; not null
     */
    public LocalInstances(
            NodeLocation location,
            InetAddress backendAddress,
            long leaseMs,
            PolicyMode mode,
            Clock clock,
            EventLoopGroup eventLoops,
            Function<ServiceName, ServiceRule> rules,
            BackendOptions backendOptions) {
        this.location = location;
        this.backendAddress = backendAddress;
        this.leaseMs = leaseMs;
        this.mode = mode;
        this.clock = clock;
        this.eventLoops = eventLoops;
        this.rules = rules;
        this.backendOptions = backendOptions;
    }

    /**
     * Sets the listener that is notified of every change of the instances, but not of lease renewals.
     *
     * @param action receives the instances as other nodes should see them; not null
     */
    public void setOnChange(Consumer<List<Instance>> action) {
        onChange = action;
    }

    /**
     * Processes an announcement, which starts or renews a lease.
     *
     * @param announcement the announcement; not null
     * @return the duration of the lease, in milliseconds
     * @throws IllegalArgumentException if the service is a new one and there are {@link #MAX_INSTANCES} others
     */
    public synchronized long announce(Announcement announcement) {
        LocalInstance known = instances.get(announcement.service());
        double leaseUntilMs = clock.monotonicMs() + leaseMs;
        BackendState state = stateOf(announcement);
        if (known != null && isSameProcess(known, announcement)) {
            instances.put(announcement.service(), known.withLease(state, acceptsUntilMs(known, state), leaseUntilMs));
            if (known.state() != state) {
                LOG.info("[node] Instance of {} is now {}.", announcement.service(), state.code());
                notifyChange();
            }
            return leaseMs;
        }
        if (known != null) {
            known.client().close();
        } else if (instances.size() >= MAX_INSTANCES) {
            throw new IllegalArgumentException("the instance of " + announcement.service()
                    + " is one too many; this host has instances of " + instances.keySet() + ", and the limit is "
                    + MAX_INSTANCES);
        }
        instances.put(announcement.service(), create(announcement, leaseUntilMs));
        LOG.info(
                "[node] Instance of {} announced itself at port {} with {} slots.",
                announcement.service(),
                announcement.port(),
                announcement.slots());
        notifyChange();
        return leaseMs;
    }

    /** An instance that has said that it is leaving stays withdrawn, whatever it announces afterwards. */
    private BackendState stateOf(Announcement announcement) {
        LocalNotice known = notices.get(announcement.incarnation());
        return known != null && known.isLeaving() ? BackendState.DRAINING : announcement.state();
    }

    /**
     * Withdraws an instance if it has said that it is leaving. Calls of nodes that do not know it yet are accepted
     * during the notice period.
     */
    void applyLeaving(LocalInstance instance) {
        if (instance.notice().isLeaving() && instance.state().acceptsWork()) {
            withdrawLeaving(instance.service(), instance.notice());
        }
    }

    private synchronized void withdrawLeaving(ServiceName service, LocalNotice notice) {
        LocalInstance known = instances.get(service);
        if (known != null && known.notice() == notice && known.state().acceptsWork()) {
            instances.put(
                    service,
                    known.withLease(
                            BackendState.DRAINING, acceptsUntilMs(known, BackendState.DRAINING), known.leaseUntilMs()));
            notifyChange();
        }
    }

    private static boolean isSameProcess(LocalInstance known, Announcement announcement) {
        return known.port() == announcement.port()
                && known.slots() == announcement.slots()
                && known.instanceId().equals(announcement.instanceId());
    }

    /** The notice period starts at the first announcement that the instance drains. */
    private double acceptsUntilMs(LocalInstance known, BackendState newState) {
        boolean startsDraining = known.state().acceptsWork() && !newState.acceptsWork();
        return startsDraining ? clock.monotonicMs() + backendOptions.drainNoticeMs() : known.acceptsUntilMs();
    }

    /**
     * Marks an instance as draining that will not announce itself again. It accepts calls until all nodes know of it.
     *
     * @param service the service; not null
     * @param instanceId the instance; not null
     */
    public synchronized void withdraw(ServiceName service, String instanceId) {
        LocalInstance known = instances.get(service);
        if (known != null && known.instanceId().equals(instanceId)) {
            instances.put(
                    service,
                    known.withLease(
                            BackendState.DRAINING,
                            acceptsUntilMs(known, BackendState.DRAINING),
                            clock.monotonicMs() + leaseMs));
            LOG.info("[node] Instance {} of {} withdrew.", instanceId, service);
            notifyChange();
        }
    }

    /** Removes an instance that was replaced by another process. Its open calls end by themselves. */
    synchronized void remove(ServiceName service) {
        LocalInstance known = instances.remove(service);
        if (known != null) {
            known.client().close();
        }
    }

    private LocalInstance create(Announcement announcement, double leaseUntilMs) {
        BackendClient client = new BackendClient(
                new InetSocketAddress(backendAddress, announcement.port()),
                eventLoops,
                CONNECT_TIMEOUT_MS,
                backendOptions.acceptsCloseDelimitedBody(),
                clock);
        ServiceRule rule = rules.apply(announcement.service());
        LocalNotice notice = noticeOf(announcement);
        return new LocalInstance(
                announcement.service(),
                announcement.port(),
                announcement.slots(),
                stateOf(announcement),
                announcement.instanceId(),
                clock.monotonicMs(),
                leaseUntilMs,
                clock.nowMs(),
                rule,
                mode.newAdmission(rule, announcement.slots(), notice.rateLimit(), clock),
                notice,
                client);
    }

    private LocalNotice noticeOf(Announcement announcement) {
        LocalNotice known = notices.get(announcement.incarnation());
        if (known != null) {
            return known;
        }
        LocalNotice notice = new LocalNotice(
                announcement.instanceId() + " of " + announcement.service(),
                announcement.incarnation(),
                new RequestRateLimit(clock, rateRefusals),
                lastNoticeVersion,
                clock);
        if (announcement.incarnation() != Announcement.UNKNOWN_INCARNATION) {
            notices.put(announcement.incarnation(), notice);
            if (notices.size() > MAX_NOTICES) {
                notices.remove(notices.keySet().iterator().next());
            }
        }
        return notice;
    }

    /**
     * Applies the limits of the templates in force. An instance with unchanged limits keeps its admission control and
     * the measurements in it.
     */
    public synchronized void applyTemplates() {
        instances.replaceAll((service, known) -> {
            ServiceRule rule = rules.apply(service);
            return rule.equals(known.rule())
                    ? known
                    : known.withAdmission(
                            rule,
                            mode.newAdmission(
                                    rule, known.slots(), known.notice().rateLimit(), clock));
        });
    }

    /** Removes the instances whose lease has ended. To be called at regular intervals. */
    public synchronized void expire() {
        double nowMs = clock.monotonicMs();
        List<LocalInstance> expired = instances.values().stream()
                .filter(instance -> instance.leaseUntilMs() < nowMs)
                .toList();
        for (LocalInstance instance : expired) {
            instances.remove(instance.service());
            instance.client().close();
            LOG.warn("[node] The lease of the instance of {} ended; no calls are sent to it.", instance.service());
        }
        if (!expired.isEmpty()) {
            notifyChange();
        }
    }

    /** Announces all instances as draining and refuses new calls from now on. */
    public synchronized void drain() {
        draining = true;
        notifyChange();
    }

    /**
     * Tells whether this node is draining.
     *
     * @return true after {@link #drain}
     */
    public boolean isDraining() {
        return draining;
    }

    @Nullable
    LocalInstance find(ServiceName service) {
        return instances.get(service);
    }

    /**
     * Returns the load of an instance.
     *
     * @param service the service; not null
     * @return the load, or empty if there is no instance of the service on this host
     */
    public Optional<LoadReport> load(ServiceName service) {
        return Optional.ofNullable(instances.get(service))
                .map(instance -> instance.admission().load());
    }

    /** Counts a request that was sent to an instance. */
    void countSentRequest() {
        requestsSent.increment();
    }

    /**
     * Returns the number of requests that were sent to instances on this host.
     *
     * @return the number; not negative
     */
    public long sentRequests() {
        return requestsSent.sum();
    }

    /**
     * Returns the number of calls that were refused because of the rates that instances named.
     *
     * @return the number; not negative
     */
    public long rateRefusals() {
        return rateRefusals.sum();
    }

    /**
     * Returns the requests per second that instances take, of those that name a rate in their responses.
     *
     * @return the rate by name of the service, never null, may be empty
     */
    public Map<String, Double> namedRates() {
        Map<String, Double> rates = new HashMap<>();
        instances.forEach((service, instance) -> {
            double maxRequestsPerS = instance.notice().rateLimit().requestsPerS();
            if (maxRequestsPerS != InstanceNotice.UNLIMITED) {
                rates.put(service.name(), maxRequestsPerS);
            }
        });
        return rates;
    }

    /**
     * Returns the instances as other nodes should see them.
     *
     * @return the instances, never null, may be empty
     */
    public List<Instance> announced() {
        List<Instance> all = new ArrayList<>();
        instances
                .values()
                .forEach(instance -> all.add(new Instance(
                        instance.service(),
                        location.host(),
                        location.dataCentre(),
                        location.region(),
                        location.peerAddress(),
                        instance.slots(),
                        draining ? BackendState.DRAINING : instance.state(),
                        instance.startedAtMs())));
        return all;
    }

    private void notifyChange() {
        onChange.accept(announced());
    }
}
