package org.sequoianotch.daemon.call;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.HeaderField;
import org.sequoianotch.protocol.ResponseHeader;

/** Writes the trace context and the time left as headers of requests to backend servers. */
final class TraceHeaderCodec implements BackendHeaderCodec {
    private static final String TIMEOUT_HEADER = "Sequoianotch-Timeout-Ms";

    private final RandomGenerator random;

    TraceHeaderCodec(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public List<HeaderField> requestHeaders(CallHeader call, String instanceId, long timeLeftMs) {
        List<HeaderField> headers = new ArrayList<>(call.headers());
        headers.add(new HeaderField(TraceParent.HEADER, TraceParent.format(call.requestId(), random.nextLong())));
        headers.add(new HeaderField(TIMEOUT_HEADER, Long.toString(timeLeftMs)));
        return headers;
    }

    @Override
    public BackendResponseInfo readResponse(CallHeader call, ResponseHeader head) {
        return BackendResponseInfo.PLAIN;
    }
}
