package org.sequoianotch.daemon.call;

import java.util.List;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.HeaderField;
import org.sequoianotch.protocol.ResponseHeader;

/**
 * Writes and reads the headers that a node and the backend server on its host exchange.
 *
 * <p>Implementations are thread-safe.
 */
public interface BackendHeaderCodec {
    /**
     * Returns the headers of a request to the backend server.
     *
     * @param call the call; not null
     * @param instanceId the instance that the request is sent to, or empty if it has no id; not null
     * @param timeLeftMs time until the deadline of the call, in milliseconds; positive
     * @return all end-to-end headers, never null
     */
    List<HeaderField> requestHeaders(CallHeader call, String instanceId, long timeLeftMs);

    /**
     * Reads the head of a response.
     *
     * @param call the call whose response is expected; not null
     * @param head the head of the response; not null
     * @return the information in the head, never null
     */
    BackendResponseInfo readResponse(CallHeader call, ResponseHeader head);
}
