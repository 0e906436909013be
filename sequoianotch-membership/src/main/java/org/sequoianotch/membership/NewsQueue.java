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
 * Hosts whose news is still to be passed on, ordered by how often that was done, the newest first.
 *
 * <p>The length is bounded, because in a storm of changes old news would slow down new news; what is given up reaches
 * the others by the comparison of digests. Guarded by the table.
 */
final class NewsQueue {
    /** Refused candidates after which a datagram counts as full. */
    private static final int MAX_MISFITS = 8;

    /** The changes of a whole data centre of 90 members fit. */
    private static final int MAX_HOSTS = 128;

    private final List<SequencedSet<HostId>> byCount = new ArrayList<>();
    private final Map<HostId, Integer> counts = new HashMap<>();

    boolean isEmpty() {
        return counts.isEmpty();
    }

    int size() {
        return counts.size();
    }

    /** Adds a host, or starts its count again. */
    void add(HostId host) {
        remove(host);
        place(host, 0);
        if (counts.size() > MAX_HOSTS) {
            removeOldest();
        }
    }

    private void removeOldest() {
        for (SequencedSet<HostId> hosts : byCount.reversed()) {
            if (!hosts.isEmpty()) {
                remove(hosts.getFirst());
                return;
            }
        }
    }

    void remove(HostId host) {
        Integer count = counts.remove(host);
        if (count != null) {
            byCount.get(count).remove(host);
        }
    }

    /**
     * Takes the hosts passed on least often and counts them once more; a host that reaches the limit is removed.
     *
     * @param roomBytes room in the datagram
     * @param limit how often news is passed on
     * @param lengthBytes length of a host's news; negative if there is none any more
     */
    List<HostId> take(int roomBytes, int limit, ToIntFunction<HostId> lengthBytes) {
        List<HostId> taken = new ArrayList<>();
        List<HostId> gone = new ArrayList<>();
        int room = roomBytes;
        int misfits = 0;
        for (int count = 0; count < byCount.size() && misfits < MAX_MISFITS; count++) {
            Iterator<HostId> hosts = byCount.get(count).reversed().iterator();
            while (hosts.hasNext() && misfits < MAX_MISFITS) {
                HostId host = hosts.next();
                int length = lengthBytes.applyAsInt(host);
                if (length < 0) {
                    gone.add(host);
                } else if (length <= room) {
                    taken.add(host);
                    room -= length;
                } else {
                    misfits++;
                }
            }
        }
        gone.forEach(this::remove);
        taken.forEach(host -> countOnce(host, limit));
        return taken;
    }

    private void countOnce(HostId host, int limit) {
        int next = counts.getOrDefault(host, 0) + 1;
        remove(host);
        if (next < limit) {
            place(host, next);
        }
    }

    private void place(HostId host, int count) {
        while (byCount.size() <= count) {
            byCount.add(new LinkedHashSet<>());
        }
        byCount.get(count).add(host);
        counts.put(host, count);
    }
}
