package org.sequoianotch.daemon;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.ControlClient;
import org.sequoianotch.control.ControlGroup;
import org.sequoianotch.control.ControlGroupOptions;
import org.sequoianotch.control.FollowerOptions;
import org.sequoianotch.control.TemplateFollower;
import org.sequoianotch.control.log.StorageException;
import org.sequoianotch.daemon.call.NodeLocation;
import org.sequoianotch.membership.Member;
import org.sequoianotch.membership.Membership;
import org.sequoianotch.membership.MembershipView;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.link.PeerRequestHandler;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.Clock;

/**
 * Components that connect a node to the control group: a follower of its templates, a client for changes and, on a
 * control host, the member of the group.
 *
 * <p>This class is thread-safe.
 */
final class ControlComponents {
    private static final long CHANGE_TIMEOUT_MS = 12_000;

    private final Membership membership;
    private final TemplateFollower follower;
    private final ControlClient client;
    private final @Nullable ControlGroup group;

    private ControlComponents(
            Membership membership, TemplateFollower follower, ControlClient client, @Nullable ControlGroup group) {
        this.membership = membership;
        this.follower = follower;
        this.client = client;
        this.group = group;
    }

    /** Creates the components; empty if the settings name no control hosts. */
    static Optional<ControlComponents> create(
            NodeSettings settings,
            NodeLocation location,
            PeerRequester requester,
            Clock clock,
            Membership membership,
            TemplateSource templates) {
        SortedMap<HostId, String> hosts = controlHosts(settings);
        if (hosts.isEmpty()) {
            return Optional.empty();
        }
        List<String> addresses = new ArrayList<>(hosts.values());
        List<String> seeds = settings.list(NodeSetting.MEMBERSHIP_SEEDS);
        TemplateFollower follower = new TemplateFollower(
                FollowerOptions.of(addresses),
                templates.current(),
                requester,
                clock,
                () -> peerAddresses(membership.view(), location, seeds),
                new Random());
        ControlGroup group = null;
        if (hosts.containsKey(location.host())
                && settings.path(NodeSetting.CONTROL_DATA_FOLDER).isPresent()) {
            ControlGroupOptions options = ControlGroupOptions.of(
                    location.host(),
                    hosts,
                    settings.path(NodeSetting.CONTROL_DATA_FOLDER).get(),
                    settings.number(NodeSetting.CONTROL_ELECTION_TIMEOUT_MS));
            group = new ControlGroup(options, requester, clock);
            group.addListener(follower::offer);
        }
        follower.addListener(templates::offer);
        follower.addListener(set -> membership.setConfigurationRevision(set.revision()));
        ControlClient client = new ControlClient(requester, addresses, CHANGE_TIMEOUT_MS);
        return Optional.of(new ControlComponents(membership, follower, client, group));
    }

    private static SortedMap<HostId, String> controlHosts(NodeSettings settings) {
        SortedMap<HostId, String> hosts = new TreeMap<>();
        for (String item : settings.list(NodeSetting.CONTROL_HOSTS)) {
            int equals = item.indexOf('=');
            hosts.put(HostId.of(item.substring(0, equals)), item.substring(equals + 1));
        }
        return hosts;
    }

    /**
     * Returns the addresses of the peers from which the follower may request the configuration. Nodes of the same data
     * centre come first, because the others may be unreachable; the seeds are used until members are known.
     */
    private static List<String> peerAddresses(MembershipView view, NodeLocation location, List<String> seeds) {
        Set<String> addresses = new LinkedHashSet<>();
        view.membersOf(location.dataCentre()).forEach(member -> addresses.add(member.peerAddress()));
        addresses.addAll(seeds);
        addresses.remove(location.peerAddress());
        return List.copyOf(addresses);
    }

    PeerRequestHandler requestHandler() {
        return group == null ? follower.requestHandler() : group.requestHandler();
    }

    /** Starts the member of the control group and the follower; the membership must have been started before. */
    void start() {
        try {
            if (group != null) {
                group.start();
            }
        } catch (StorageException e) {
            throw new NodeStartException("The control group's data folder cannot be used: " + e.getMessage());
        }
        membership.addListener((view, changed) -> followHigherRevision(view));
        follower.start();
    }

    private void followHigherRevision(MembershipView view) {
        TemplateSet current = follower.current();
        if (view.highestConfigurationRevision() <= current.revision()) {
            return;
        }
        view.members().stream()
                .filter(member -> member.configurationRevision() == view.highestConfigurationRevision())
                .findFirst()
                .map(Member::peerAddress)
                .ifPresent(address -> follower.hint(view.highestConfigurationRevision(), address));
    }

    ControlClient client() {
        return client;
    }

    Optional<ControlGroup> group() {
        return Optional.ofNullable(group);
    }

    void close() {
        follower.close();
        if (group != null) {
            group.close();
        }
    }
}
