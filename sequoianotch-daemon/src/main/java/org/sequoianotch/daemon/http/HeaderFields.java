package org.sequoianotch.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoianotch.protocol.HeaderField;

/**
 * Looks up header fields and selects those that are forwarded end to end.
 *
 * <p>This class is thread-safe.
 */
public final class HeaderFields {
    /** Prefix of the header names that Sequoianotch defines, in lower case. */
    public static final String OWN_PREFIX = "sequoianotch-";

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "host");
    private static final Set<String> TRACE_CONTEXT = Set.of("traceparent", "tracestate");
    /** Callers and backend servers use a few dozen names. The limit bounds the memory if a hostile one sends many. */
    private static final int MAX_CACHED_NAMES = 256;

    private static final Map<String, Boolean> END_TO_END_BY_NAME = new ConcurrentHashMap<>();
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private HeaderFields() {}

    /**
     * Returns the first value of a field.
     *
     * @param fields the fields; not null
     * @param name the field name in any case; not null
     * @return the value, or empty if the field is missing
     */
    public static Optional<String> first(List<HeaderField> fields, String name) {
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the fields that are forwarded end to end. Leaves out hop-by-hop fields, Sequoianotch's own fields and the
     * trace context, which the node sets itself.
     *
     * @param fields the fields as received; not null
     * @return the fields to forward, never null
     */
    public static List<HeaderField> endToEnd(List<HeaderField> fields) {
        List<HeaderField> forwarded = new ArrayList<>(fields.size());
        for (HeaderField field : fields) {
            if (isEndToEnd(field.name())) {
                forwarded.add(field);
            }
        }
        return forwarded;
    }

    private static boolean isEndToEnd(String name) {
        Boolean cached = END_TO_END_BY_NAME.get(name);
        if (cached != null) {
            return cached;
        }
        boolean endToEnd = computeEndToEnd(name);
        if (END_TO_END_BY_NAME.size() < MAX_CACHED_NAMES) {
            END_TO_END_BY_NAME.put(name, endToEnd);
        }
        return endToEnd;
    }

    private static boolean computeEndToEnd(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lower) && !TRACE_CONTEXT.contains(lower) && !lower.startsWith(OWN_PREFIX);
    }

    static void addAll(HttpHeaders target, List<HeaderField> fields) {
        for (HeaderField field : fields) {
            target.add(field.name(), field.value());
        }
    }

    static boolean isBodyless(int status) {
        return status == NO_CONTENT || status == NOT_MODIFIED;
    }
}
