package org.sequoianotch.daemon.departure;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoianotch.control.state.Departure;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.link.PeerRequestHandler;

/**
 * Departures of instances on other hosts, kept in memory on behalf of the nodes beside them, which read them when they
 * cannot reach the control group after a restart. No acknowledgement relies on them.
 *
 * <p>A request contains the departures to record for the requesting host, possibly none; the response contains all that
 * are recorded for it. Only the requesting host, as authenticated by the link, can change or read its departures.
 *
 * <p>This class is thread-safe.
 */
public final class DepartureStore {
    /** A host has few instances, of which each leaves once; a heartbeat is late by seconds. */
    private static final int MAX_DEPARTURES_PER_HOST = 16;

    /** Enough for the hosts of the largest deployment, with those that they replaced. */
    private static final int MAX_HOSTS = 2_000;

    private final Map<HostId, Map<String, Departure>> departures = new LinkedHashMap<>();

    /** Creates an empty store. */
    public DepartureStore() {}

    /**
     * Returns the handler of requests of other hosts.
     *
     * @return the handler, never null
     */
    public PeerRequestHandler requestHandler() {
        return (from, payload) -> {
            try {
                return Either.right(Departure.encodeAll(recordAll(from, Departure.decodeAll(payload))));
            } catch (IllegalArgumentException e) {
                return Either.left(Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(e.getMessage())));
            }
        };
    }

    private synchronized List<Departure> recordAll(HostId host, List<Departure> added) {
        if (added.isEmpty()) {
            return List.copyOf(departures.getOrDefault(host, Map.of()).values());
        }
        Map<String, Departure> ofHost = departures.computeIfAbsent(host, key -> new LinkedHashMap<>());
        for (Departure departure : added) {
            Departure recorded = ofHost.get(departure.instanceId());
            if (recorded == null || departure.supersedes(recorded)) {
                ofHost.remove(departure.instanceId());
                ofHost.put(departure.instanceId(), departure);
            }
            removeEldest(ofHost, MAX_DEPARTURES_PER_HOST);
        }
        removeEldest(departures, MAX_HOSTS);
        return List.copyOf(ofHost.values());
    }

    private static void removeEldest(Map<?, ?> map, int maxSize) {
        if (map.size() > maxSize) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
