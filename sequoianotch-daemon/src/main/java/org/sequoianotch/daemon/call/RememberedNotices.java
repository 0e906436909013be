package org.sequoianotch.daemon.call;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.ServiceName;

/**
 * The notices of instances that this node has received with responses. It sends them back with its calls, so that they
 * hold even if the process beside the instance was restarted.
 *
 * <p>This class is thread-safe.
 */
final class RememberedNotices {
    /** Several times the instances of the largest deployment; the notice that was stored first is dropped. */
    private static final int MAX_NOTICES = 4_096;

    private final Map<Key, InstanceNotice> notices = new LinkedHashMap<>();

    private record Key(HostId host, ServiceName service) {}

    /**
     * Stores a notice unless a newer one of the same host and service is known. A notice that says nothing is stored
     * only in place of another one.
     */
    synchronized void store(HostId host, ServiceName service, @Nullable InstanceNotice notice) {
        if (notice == null) {
            return;
        }
        Key key = new Key(host, service);
        InstanceNotice known = notices.get(key);
        boolean saysNothing = notice.maxRequestsPerS() == InstanceNotice.UNLIMITED && !notice.leaving();
        if (known == null ? saysNothing : known.version() >= notice.version()) {
            return;
        }
        notices.remove(key);
        notices.put(key, notice);
        if (notices.size() > MAX_NOTICES) {
            notices.remove(notices.keySet().iterator().next());
        }
    }

    /** Returns the notice to send with a call, or null if there is none. */
    synchronized @Nullable InstanceNotice find(HostId host, ServiceName service) {
        return notices.isEmpty() ? null : notices.get(new Key(host, service));
    }
}
