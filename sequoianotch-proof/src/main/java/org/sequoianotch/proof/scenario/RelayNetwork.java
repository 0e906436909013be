package org.sequoianotch.proof.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The relays of a deployment and the actions that partition and heal its network.
 *
 * <p>One thread executes the actions; relays look up hosts from their own threads.
 */
final class RelayNetwork implements AutoCloseable {
    private final List<Scenario.HostPlan> hosts;
    private final BlockedDirections blocked = new BlockedDirections();
    private final Map<String, Relay> relays = new LinkedHashMap<>();
    private final Map<String, String> hostsByAddress = new ConcurrentHashMap<>();

    RelayNetwork(List<Scenario.HostPlan> hosts) {
        this.hosts = List.copyOf(hosts);
    }

    /** Opens the relay in front of one host. */
    void open(String host, InetSocketAddress listen, InetSocketAddress target) throws IOException {
        hostsByAddress.put(target.getAddress().getHostAddress(), host);
        relays.put(host, new Relay(host, listen, target, blocked, this::hostOf));
    }

    private String hostOf(InetSocketAddress source) {
        return hostsByAddress.getOrDefault(source.getAddress().getHostAddress(), "");
    }

    /** Executes an action on the network, such as {@code cut a b} or {@code isolate a}. */
    void execute(List<String> words) {
        switch (words.get(0)) {
            case "cut" -> cut(words.get(1), words.get(2));
            case "cut-one-way" -> blocked.block(words.get(1), words.get(2));
            case "silence" -> {
                relay(words.get(1)).silence(words.get(2));
                relay(words.get(2)).silence(words.get(1));
            }
            case "isolate" -> hosts.forEach(other -> cut(words.get(1), other.name()));
            case "cut-data-centre" -> cutDataCentre(words.get(1));
            case "heal" -> blocked.unblockAll();
            default -> throw new IllegalArgumentException("unknown network action: " + words);
        }
    }

    private void cut(String one, String other) {
        if (!one.equals(other)) {
            blocked.block(one, other);
            blocked.block(other, one);
        }
    }

    private void cutDataCentre(String dataCentre) {
        for (Scenario.HostPlan inside : hosts) {
            for (Scenario.HostPlan outside : hosts) {
                if (inside.dataCentre().equals(dataCentre)
                        && !outside.dataCentre().equals(dataCentre)) {
                    cut(inside.name(), outside.name());
                }
            }
        }
    }

    private Relay relay(String host) {
        Relay relay = relays.get(host);
        if (relay == null) {
            throw new IllegalArgumentException("host " + host + " has no relay; set relay = true in [scenario]");
        }
        return relay;
    }

    @Override
    public void close() {
        blocked.unblockAll();
        relays.values().forEach(Relay::close);
    }
}
