package org.sequoianotch.daemon.metrics;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;
import org.sequoianotch.daemon.call.LocalInstances;
import org.sequoianotch.daemon.ledger.LedgerCounters;
import org.sequoianotch.membership.MemberState;
import org.sequoianotch.membership.Membership;
import org.sequoianotch.membership.MembershipCounters;
import org.sequoianotch.protocol.link.LinkCounters;
import org.sequoianotch.protocol.link.Transport;
import org.sequoianotch.task.TaskThreads;

/** Registers the counters of a node's components with its metrics. This class is stateless. */
public final class ComponentMetrics {
    private ComponentMetrics() {}

    /**
     * Adds gauges of the requests and calls in progress.
     *
     * @param metrics the metrics; not null
     * @param openRequests supplies the requests and sub-calls in progress at the local backend server; not null
     * @param openPeerCalls supplies the calls from other nodes in progress on this node; not null
     */
    public static void addOpenRequests(NodeMetrics metrics, IntSupplier openRequests, IntSupplier openPeerCalls) {
        metrics.gauge(
                "sequoianotch_open_requests",
                "Requests and sub-calls in progress at the backend server of this host.",
                openRequests::getAsInt);
        metrics.gauge("sequoianotch_open_peer_calls", "Calls from other nodes in progress.", openPeerCalls::getAsInt);
    }

    /**
     * Adds the counter of requests to the instances on this host, and the rates that the instances name.
     *
     * @param metrics the metrics; not null
     * @param instances the instances; not null
     */
    public static void addInstances(NodeMetrics metrics, LocalInstances instances) {
        metrics.counter(
                "sequoianotch_instance_requests_total",
                "Requests sent to the instances of this host.",
                instances::sentRequests);
        metrics.counter(
                "sequoianotch_instance_rate_refusals_total",
                "Calls that were refused because an instance of this host takes no more requests per second.",
                instances::rateRefusals);
        metrics.gauge(
                "sequoianotch_instance_named_requests_per_second",
                "Requests per second that an instance of this host takes, if it names a rate.",
                "service",
                instances::namedRates);
    }

    /**
     * Adds the counters of the links to other hosts.
     *
     * @param metrics the metrics; not null
     * @param counters the counters of the links; not null
     */
    public static void addLinks(NodeMetrics metrics, LinkCounters counters) {
        metrics.counter("sequoianotch_links_opened_total", "Links that completed their handshake.", counters::opened);
        metrics.counter("sequoianotch_links_lost_total", "Links that ended unexpectedly.", counters::lost);
        metrics.counter(
                "sequoianotch_links_silent_total",
                "Links closed because nothing was received within the silence timeout.",
                counters::silent);
        metrics.counter(
                "sequoianotch_link_handshakes_refused_total",
                "Connections that failed the handshake.",
                counters::refusedHandshakes);
        metrics.counter(
                "sequoianotch_link_malformed_frames_total",
                "Frames that violated the protocol and closed their link.",
                counters::malformedFrames);
        metrics.counter(
                "sequoianotch_link_late_frames_total",
                "Frames dropped because their call had ended.",
                counters::unknownCallFrames);
        metrics.counter("sequoianotch_link_sent_bytes_total", "Bytes sent on links.", counters::bytesSent);
        metrics.counter("sequoianotch_link_received_bytes_total", "Bytes received on links.", counters::bytesReceived);
        metrics.counter(
                "sequoianotch_link_heartbeat_bytes_total",
                "Bytes of heartbeats sent and received.",
                counters::heartbeatBytes);
        metrics.counter("sequoianotch_frames_sent_total", "Frames sent on links to other hosts.", counters::framesSent);
        metrics.counter(
                "sequoianotch_frames_received_total",
                "Frames received on links to other hosts.",
                counters::framesReceived);
        metrics.counter("sequoianotch_link_flushes_total", "Flushes of frames to links.", counters::flushes);
    }

    /**
     * Adds the counters of the event loops and tasks of the process.
     *
     * @param metrics the metrics; not null
     * @param transport the event loops; not null
     */
    public static void addEventLoops(NodeMetrics metrics, Transport transport) {
        metrics.counter("sequoianotch_event_loop_turns_total", "Iterations of the event loops.", transport::turns);
        metrics.counter(
                "sequoianotch_deadline_wake_ups_total",
                "Iterations of the event loops caused by a deadline.",
                () -> transport.deadlines().wakeUps());
        metrics.counter(
                "sequoianotch_tasks_started_total", "Tasks started in this process.", TaskThreads::startedCount);
    }

    /**
     * Adds the number of members by state and the counters of the membership protocol.
     *
     * @param metrics the metrics; not null
     * @param membership the membership; not null
     */
    public static void addMembership(NodeMetrics metrics, Membership membership) {
        metrics.gauge("sequoianotch_members", "Members by state.", "state", () -> membersByState(membership));
        MembershipCounters counters = membership.counters();
        metrics.counter(
                "sequoianotch_membership_datagrams_sent_total", "Gossip datagrams sent.", counters::datagramsSent);
        metrics.counter(
                "sequoianotch_membership_datagrams_received_total",
                "Gossip datagrams received.",
                counters::datagramsReceived);
        metrics.counter(
                "sequoianotch_membership_datagrams_dropped_total",
                "Gossip datagrams dropped because of an invalid proof or a malformed message.",
                counters::datagramsDropped);
        metrics.counter(
                "sequoianotch_membership_datagram_sent_bytes_total",
                "Bytes of gossip datagrams sent.",
                counters::datagramBytesSent);
        metrics.counter(
                "sequoianotch_membership_datagram_received_bytes_total",
                "Bytes of gossip datagrams received.",
                counters::datagramBytesReceived);
        metrics.counter(
                "sequoianotch_membership_exchange_sent_bytes_total",
                "Bytes of exchanges sent over links.",
                counters::exchangeBytesSent);
        metrics.counter(
                "sequoianotch_membership_exchange_received_bytes_total",
                "Bytes of exchanges received over links.",
                counters::exchangeBytesReceived);
        metrics.counter("sequoianotch_membership_exchanges_total", "Exchanges started.", counters::exchanges);
        metrics.counter(
                "sequoianotch_membership_exchanges_failed_total", "Exchanges that failed.", counters::exchangesFailed);
        metrics.counter("sequoianotch_membership_probes_total", "Probes started.", counters::probes);
        metrics.counter(
                "sequoianotch_membership_probes_failed_total", "Probes that got no reply.", counters::probesFailed);
        metrics.counter("sequoianotch_membership_suspicions_total", "Suspicions raised.", counters::suspicions);
        metrics.counter(
                "sequoianotch_membership_suspicions_refuted_total",
                "Suspicions about this node that it refuted.",
                counters::suspicionsRefuted);
    }

    private static Map<String, Double> membersByState(Membership membership) {
        Map<String, Double> counts = new LinkedHashMap<>();
        for (MemberState state : MemberState.values()) {
            counts.put(state.name().toLowerCase(Locale.ROOT), (double)
                    membership.view().count(state));
        }
        return counts;
    }

    /**
     * Adds the counters of the ledger.
     *
     * @param metrics the metrics; not null
     * @param counters the counters of the ledger; not null
     */
    public static void addLedger(NodeMetrics metrics, LedgerCounters counters) {
        metrics.counter(
                "sequoianotch_ledger_claims_granted_total",
                "Claims granted to this node.",
                counters.claimsGranted()::sum);
        metrics.counter(
                "sequoianotch_ledger_repeats_answered_total",
                "Repeated requests answered with the recorded response.",
                counters.repeatsAnswered()::sum);
        metrics.counter(
                "sequoianotch_ledger_in_progress_total",
                "Requests refused because another attempt is in progress.",
                counters.inProgress()::sum);
        metrics.counter(
                "sequoianotch_ledger_in_doubt_total",
                "Requests refused because an earlier attempt may have run.",
                counters.inDoubt()::sum);
        metrics.counter(
                "sequoianotch_ledger_reused_total",
                "Requests refused because their key was used for a different request.",
                counters.reused()::sum);
        metrics.counter(
                "sequoianotch_ledger_unreachable_total",
                "Requests refused because too few ledger hosts responded.",
                counters.unreachable()::sum);
        metrics.counter(
                "sequoianotch_ledger_refused_full_total",
                "Claims refused by this ledger host because it was full.",
                counters.refusedFull()::sum);
        metrics.counter(
                "sequoianotch_ledger_bad_messages_total",
                "Messages that this ledger host could not decode.",
                counters.badMessages()::sum);
        metrics.counter("sequoianotch_ledger_syncs_total", "Synced writes of the claim file.", counters.syncs()::sum);
        metrics.gauge("sequoianotch_ledger_file_bytes", "Size of the claim file.", counters.bytesOnDisk()::get);
        metrics.gauge("sequoianotch_ledger_claims", "Claims held by this ledger host.", counters.claimsHeld()::get);
    }
}
