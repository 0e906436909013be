package org.sequoianotch.control;

import java.util.SortedMap;
import org.sequoianotch.model.HostId;

/** Directory of the known control hosts. Implementations are thread-safe. */
@FunctionalInterface
public interface ControlDirectory {
    /**
     * Returns the known control hosts.
     *
     * @return addresses of the peer listeners by host, never null; the local host may be missing
     */
    SortedMap<HostId, String> hosts();
}
