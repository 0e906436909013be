package org.sequoianotch.daemon;

import org.jspecify.annotations.Nullable;
import org.sequoianotch.daemon.call.NodeLocation;
import org.sequoianotch.daemon.http.ListenerOptions;
import org.sequoianotch.membership.MembershipOptions;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.Region;
import org.sequoianotch.protocol.link.LinkOptions;
import org.sequoianotch.protocol.link.TlsOptions;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;

/** Converts the settings of a node to the options of its components. This class is stateless. */
final class NodeOptions {
    private static final long MEMBER_RETENTION_MS = 86_400_000;
    private static final int MAX_LOCAL_CONNECTIONS = 4_096;

    private NodeOptions() {}

    static NodeLocation location(NodeSettings settings) {
        String advertised = settings.text(NodeSetting.PEER_ADVERTISE);
        return new NodeLocation(
                HostId.of(settings.text(NodeSetting.HOST)),
                DataCentre.of(settings.text(NodeSetting.DATA_CENTRE)),
                Region.of(settings.text(NodeSetting.REGION)),
                advertised.isEmpty() ? settings.text(NodeSetting.PEER_LISTEN) : advertised);
    }

    static LinkOptions links(NodeSettings settings, NodeLocation location) {
        return new LinkOptions(
                location.host(),
                location.dataCentre(),
                settings.text(NodeSetting.DEPLOYMENT_KEY),
                settings.number(NodeSetting.PEER_HEARTBEAT_MS),
                settings.number(NodeSetting.PEER_SILENCE_TIMEOUT_MS),
                (int) settings.number(NodeSetting.PEER_CONNECT_TIMEOUT_MS),
                tls(settings));
    }

    private static @Nullable TlsOptions tls(NodeSettings settings) {
        return settings.path(NodeSetting.PEER_TLS_CERTIFICATE)
                .map(certificate -> new TlsOptions(
                        certificate,
                        settings.path(NodeSetting.PEER_TLS_KEY).orElseThrow(),
                        settings.path(NodeSetting.PEER_TLS_TRUST).orElseThrow()))
                .orElse(null);
    }

    static MembershipOptions membership(NodeSettings settings, NodeLocation location) {
        return new MembershipOptions(
                location.host(),
                location.dataCentre(),
                location.region(),
                location.peerAddress(),
                settings.list(NodeSetting.MEMBERSHIP_SEEDS),
                settings.text(NodeSetting.DEPLOYMENT_KEY),
                settings.number(NodeSetting.MEMBERSHIP_PROBE_INTERVAL_MS),
                settings.number(NodeSetting.MEMBERSHIP_SUSPICION_TIMEOUT_MS),
                settings.number(NodeSetting.MEMBERSHIP_GOSSIP_INTERVAL_MS),
                settings.number(NodeSetting.MEMBERSHIP_EXCHANGE_INTERVAL_MS),
                MEMBER_RETENTION_MS,
                MEMBER_RETENTION_MS);
    }

    static ListenerOptions listener(NodeSettings settings, String name, NodeSetting address) {
        int maxConnections = address == NodeSetting.CALLER_LISTEN
                ? (int) settings.number(NodeSetting.CALLER_MAX_CONNECTIONS)
                : MAX_LOCAL_CONNECTIONS;
        return new ListenerOptions(
                name,
                settings.address(address),
                (int) settings.number(NodeSetting.CALLER_MAX_HEADER_BYTES),
                maxConnections,
                settings.number(NodeSetting.CALLER_IDLE_TIMEOUT_MS));
    }
}
