package org.sequoianotch.protocol.link;

/** Serves the calls that other nodes open. It is called on a virtual thread for each call and may block. */
@FunctionalInterface
public interface CallHandler {
    /**
     * Serves one call. A call that is neither completed nor refused on return is refused as {@code internal}.
     *
     * @param call the call; not null
     */
    void handle(IncomingCall call);
}
