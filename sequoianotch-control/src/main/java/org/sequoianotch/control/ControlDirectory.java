package org.sequoianotch.control;

import java.util.SortedMap;
import org.sequoianotch.model.HostId;

/** Tells which control hosts are known now, with the addresses of their peer listeners. Thread-safe. */
@FunctionalInterface
public interface ControlDirectory {
    /**
     * Returns the known control hosts.
     *
     * @return addresses by host, never null; the own host may be missing
     */
    SortedMap<HostId, String> hosts();
}
