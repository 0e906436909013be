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

/** Queries over header fields, and the fields that are never passed on. This class is stateless. */
public final class HeaderFields {
    /** Prefix of this project's own header names, in lower case. */
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
    private static final Set<String> CONTEXT = Set.of("traceparent", "tracestate");
    /** Callers and backend servers send a few dozen names; the bound keeps hostile ones from filling the memory. */
    private static final int MAX_REMEMBERED_NAMES = 256;

    private static final Map<String, Boolean> END_TO_END = new ConcurrentHashMap<>();
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
     * Returns the fields that are passed on end to end: without those of one connection, those of this project and the
     * trace context, which the node sets itself.
     *
     * @param fields the fields as received; not null
     * @return the fields to pass on, never null
     */
    public static List<HeaderField> endToEnd(List<HeaderField> fields) {
        List<HeaderField> passed = new ArrayList<>(fields.size());
        for (HeaderField field : fields) {
            if (isEndToEnd(field.name())) {
                passed.add(field);
            }
        }
        return passed;
    }

    private static boolean isEndToEnd(String name) {
        Boolean known = END_TO_END.get(name);
        if (known != null) {
            return known;
        }
        boolean endToEnd = findEndToEnd(name);
        if (END_TO_END.size() < MAX_REMEMBERED_NAMES) {
            END_TO_END.put(name, endToEnd);
        }
        return endToEnd;
    }

    private static boolean findEndToEnd(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lower) && !CONTEXT.contains(lower) && !lower.startsWith(OWN_PREFIX);
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
