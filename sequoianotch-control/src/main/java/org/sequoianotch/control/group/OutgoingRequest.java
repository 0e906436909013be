package org.sequoianotch.control.group;

import java.util.Objects;

/**
 * A request that a member wants to have sent to a peer.
 *
 * <p>The caller sends it and reports the reply or the failure with the same object to {@link RaftMember#onReply} or
 * {@link RaftMember#onRequestFailed}. This type is immutable.
 *
 * @param peer the peer; not null
 * @param request the request; not null
 * @param sequence sequence number of the request to this peer; a reply to any but the newest request is ignored
 * @param sentAtMs creation time of the request on the monotonic clock, in milliseconds
 */
public record OutgoingRequest(Member peer, GroupMessage.Request request, long sequence, double sentAtMs) {
    /** Checks the components. */
    public OutgoingRequest {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(request, "request");
    }
}
