package org.sequoianotch.daemon.ledger;

import java.util.Map;

/**
 * Formation of a group of ledger hosts. A group is formed when no member is serving in the epoch, so there are no
 * claims to copy.
 *
 * @param epoch the epoch of the group
 * @param completeFromMs wall-clock time, in milliseconds since the Unix epoch, before which claims may have been
 *     granted that the group does not know
 * @param bootIds the boot ids of the members that took part, by member address; a member that still has the same boot
 *     id has lost no claims and may start serving without copying them
 */
record Formation(long epoch, long completeFromMs, Map<String, Long> bootIds) {
    Formation {
        bootIds = Map.copyOf(bootIds);
    }

    Formation withCompleteFromMs(long newCompleteFromMs) {
        return new Formation(epoch, newCompleteFromMs, bootIds);
    }
}
