package org.sequoianotch.daemon.admin;

import java.util.function.Supplier;
import org.sequoianotch.daemon.burn.BurnCounters;
import org.sequoianotch.daemon.explain.RequestJournal;
import org.sequoianotch.daemon.explain.ServiceCounters;
import org.sequoianotch.daemon.metrics.NodeMetrics;
import org.sequoianotch.membership.MembershipView;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.Clock;

/**
 * Components of a node that the admin listener reads and controls.
 *
 * @param host the node's host; not null
 * @param clock the clock; not null
 * @param templates the templates in force; not null
 * @param membershipView the current view of the membership; not null
 * @param requester sends queries to other nodes; not null
 * @param load the load of this node; not null
 * @param journal the timelines of requests; not null
 * @param serviceCounters event counts by service; not null
 * @param burnCounters error budget counters of the objectives; not null
 * @param metrics the metrics of this node; not null
 * @param templateChanges applies template changes; not null
 */
public record AdminDependencies(
        HostId host,
        Clock clock,
        Supplier<TemplateSet> templates,
        Supplier<MembershipView> membershipView,
        PeerRequester requester,
        Supplier<NodeLoad> load,
        RequestJournal journal,
        ServiceCounters serviceCounters,
        BurnCounters burnCounters,
        NodeMetrics metrics,
        TemplateChangeService templateChanges) {}
