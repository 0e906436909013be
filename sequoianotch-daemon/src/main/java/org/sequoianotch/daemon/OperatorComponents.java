package org.sequoianotch.daemon;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.sequoianotch.daemon.admin.AdminDependencies;
import org.sequoianotch.daemon.admin.AdminHandler;
import org.sequoianotch.daemon.admin.NodeLoad;
import org.sequoianotch.daemon.admin.NodeQueryHandler;
import org.sequoianotch.daemon.admin.OperatorKeys;
import org.sequoianotch.daemon.admin.TemplateChangeService;
import org.sequoianotch.daemon.burn.BurnCounters;
import org.sequoianotch.daemon.call.CallPath;
import org.sequoianotch.daemon.explain.CompositeRequestRecorder;
import org.sequoianotch.daemon.explain.RequestJournal;
import org.sequoianotch.daemon.explain.RequestRecorder;
import org.sequoianotch.daemon.explain.ServiceCounters;
import org.sequoianotch.daemon.http.HttpHandler;
import org.sequoianotch.daemon.ledger.LedgerCounters;
import org.sequoianotch.daemon.metrics.ComponentMetrics;
import org.sequoianotch.daemon.metrics.NodeMetrics;
import org.sequoianotch.membership.Membership;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Instance;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.LinkCounters;
import org.sequoianotch.protocol.link.PeerListener;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.Clock;

/** Components behind the admin listener: request timelines, counters, metrics and operator keys. */
final class OperatorComponents {
    private final NodeSettings settings;
    private final HostId host;
    private final Supplier<TemplateSet> templates;
    private final Clock clock;
    private final RequestJournal journal;
    private final ServiceCounters services;
    private final BurnCounters burn;
    private final NodeMetrics metrics;
    private final OperatorKeys keys;

    OperatorComponents(NodeSettings settings, HostId host, Supplier<TemplateSet> templates, Clock clock) {
        this.settings = settings;
        this.host = host;
        this.templates = templates;
        this.clock = clock;
        long slowMs = settings.number(NodeSetting.EXPLAIN_SLOW_MS);
        journal = new RequestJournal(host, clock, (int) settings.number(NodeSetting.EXPLAIN_MAX_REQUESTS), slowMs);
        services = new ServiceCounters(clock, slowMs);
        burn = new BurnCounters(clock, templates);
        metrics = new NodeMetrics(templates);
        keys = OperatorKeys.parse(settings.text(NodeSetting.ADMIN_KEYS))
                .orElseThrow(() -> new NodeStartException(
                        "[admin] operator_keys must be name=key pairs separated by commas, each name once."));
    }

    /** Returns the recorder that records request events in the timelines, the counters and the metrics. */
    RequestRecorder recorder() {
        return CompositeRequestRecorder.of(journal, services, burn, metrics);
    }

    /** Connects these components to the other components of the node and returns the handler of the admin listener. */
    HttpHandler attach(
            Membership membership,
            PeerRequester requester,
            PeerListener peerListener,
            CallPath callPath,
            LinkCounters linkCounters,
            LedgerCounters ledgerCounters,
            TemplateChangeService changes) {
        ComponentMetrics.addOpenRequests(metrics, callPath::openRequests, peerListener::openCalls);
        ComponentMetrics.addLinks(metrics, linkCounters);
        ComponentMetrics.addMembership(metrics, membership);
        ComponentMetrics.addLedger(metrics, ledgerCounters);
        AdminDependencies dependencies = new AdminDependencies(
                host,
                clock,
                templates,
                membership::view,
                requester,
                () -> load(callPath),
                journal,
                services,
                burn,
                metrics,
                changes);
        peerListener.register(Topic.EXPLAIN, new NodeQueryHandler(dependencies));
        boolean loopback =
                settings.address(NodeSetting.ADMIN_LISTEN).getAddress().isLoopbackAddress();
        return new AdminHandler(dependencies, keys, loopback);
    }

    private NodeLoad load(CallPath callPath) {
        Map<String, LoadReport> loads = new TreeMap<>();
        for (Instance instance : callPath.instances().announced()) {
            callPath.instances()
                    .load(instance.service())
                    .ifPresent(load -> loads.put(instance.service().name(), load));
        }
        return new NodeLoad(templates.get().revision(), callPath.openRequests(), loads);
    }
}
