package org.sequoianotch.membership;

import java.util.List;
import org.sequoianotch.model.HostId;

/**
 * A membership datagram.
 *
 * @param type the type
 * @param sequence sequence number of the probe that it belongs to
 * @param from the sender
 * @param fromAddress the sender's peer address; replies go there
 * @param revision configuration revision in force on the sender
 * @param highestRevision highest configuration revision known to the sender
 * @param target the host that is probed
 * @param targetAddress the target's peer address
 * @param updates members whose states are piggybacked
 */
record Datagram(
        Type type,
        long sequence,
        HostId from,
        String fromAddress,
        long revision,
        long highestRevision,
        HostId target,
        String targetAddress,
        List<Member> updates) {
    /** Type of a datagram. The ordinal is the wire value. */
    enum Type {
        /** Requests an {@link #ACK} from the target. */
        PING,
        /** Reply of a probed member, sent by the member itself or relayed. */
        ACK,
        /** Requests the receiver to probe the target on behalf of the sender. */
        PING_REQUEST,
        /** Reports that the receiver of a {@link #PING_REQUEST} got no reply from the target either. */
        NACK,
        /** Carries only updates. */
        GOSSIP
    }
}
