package org.sequoianotch.daemon.call;

import java.util.HexFormat;
import java.util.Optional;
import org.sequoianotch.model.RequestId;

/** The W3C {@code traceparent} header. This class is stateless. */
final class TraceParent {
    static final String HEADER = "traceparent";
    private static final String PREFIX = "00-";
    private static final String SAMPLED_SUFFIX = "-01";
    private static final int ID_START = 3;
    private static final int ID_END = 35;
    private static final int MIN_LENGTH = 55;

    private TraceParent() {}

    static String format(RequestId requestId, long spanId) {
        return PREFIX + requestId + "-" + HexFormat.of().toHexDigits(spanId == 0 ? 1 : spanId) + SAMPLED_SUFFIX;
    }

    static Optional<RequestId> parse(String value) {
        if (value.length() < MIN_LENGTH || value.charAt(ID_START - 1) != '-' || value.charAt(ID_END) != '-') {
            return Optional.empty();
        }
        return RequestId.parse(value.substring(ID_START, ID_END));
    }
}
