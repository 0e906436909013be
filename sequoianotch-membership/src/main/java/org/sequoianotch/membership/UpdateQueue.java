package org.sequoianotch.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SequencedSet;
import java.util.function.ToIntFunction;
import org.sequoianotch.model.HostId;

/**
 * Hosts whose updates are still to be gossiped, ordered by the number of transmissions, and within equal numbers the
 * newest first.
 *
 * <p>The length is bounded, because in a burst of changes old updates would delay new ones. Dropped updates reach the
 * other nodes by the comparison of digests. Guarded by the lock of the {@link MemberTable}.
 */
final class UpdateQueue {
    /** Hosts skipped because their update does not fit, after which a datagram counts as full. */
    private static final int MAX_SKIPPED_HOSTS = 8;

    /** Holds the changes of a whole data centre of 90 members. */
    private static final int MAX_HOSTS = 128;

    private final List<SequencedSet<HostId>> byTransmissionCount = new ArrayList<>();
    private final Map<HostId, Integer> transmissionCounts = new HashMap<>();

    boolean isEmpty() {
        return transmissionCounts.isEmpty();
    }

    int size() {
        return transmissionCounts.size();
    }

    /** Adds a host, or resets its transmission count. */
    void add(HostId host) {
        remove(host);
        insert(host, 0);
        if (transmissionCounts.size() > MAX_HOSTS) {
            removeOldest();
        }
    }

    private void removeOldest() {
        for (SequencedSet<HostId> hosts : byTransmissionCount.reversed()) {
            if (!hosts.isEmpty()) {
                remove(hosts.getFirst());
                return;
            }
        }
    }

    void remove(HostId host) {
        Integer count = transmissionCounts.remove(host);
        if (count != null) {
            byTransmissionCount.get(count).remove(host);
        }
    }

    /**
     * Takes the hosts with the fewest transmissions and increments their counts. A host that reaches the limit is
     * removed.
     *
     * @param maxBytes space for updates in the datagram
     * @param transmissionLimit number of transmissions of each update
     * @param lengthBytes length of a host's encoded update; negative if the host is no longer known
     */
    List<HostId> take(int maxBytes, int transmissionLimit, ToIntFunction<HostId> lengthBytes) {
        List<HostId> taken = new ArrayList<>();
        List<HostId> withoutUpdate = new ArrayList<>();
        int remainingBytes = maxBytes;
        int skipped = 0;
        for (int count = 0; count < byTransmissionCount.size() && skipped < MAX_SKIPPED_HOSTS; count++) {
            Iterator<HostId> hosts = byTransmissionCount.get(count).reversed().iterator();
            while (hosts.hasNext() && skipped < MAX_SKIPPED_HOSTS) {
                HostId host = hosts.next();
                int length = lengthBytes.applyAsInt(host);
                if (length < 0) {
                    withoutUpdate.add(host);
                } else if (length <= remainingBytes) {
                    taken.add(host);
                    remainingBytes -= length;
                } else {
                    skipped++;
                }
            }
        }
        withoutUpdate.forEach(this::remove);
        taken.forEach(host -> incrementCount(host, transmissionLimit));
        return taken;
    }

    private void incrementCount(HostId host, int transmissionLimit) {
        int newCount = transmissionCounts.getOrDefault(host, 0) + 1;
        remove(host);
        if (newCount < transmissionLimit) {
            insert(host, newCount);
        }
    }

    private void insert(HostId host, int count) {
        while (byTransmissionCount.size() <= count) {
            byTransmissionCount.add(new LinkedHashSet<>());
        }
        byTransmissionCount.get(count).add(host);
        transmissionCounts.put(host, count);
    }
}
