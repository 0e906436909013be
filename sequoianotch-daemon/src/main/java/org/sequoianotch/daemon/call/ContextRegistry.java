package org.sequoianotch.daemon.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoianotch.model.RequestId;

/**
 * The contexts of the calls that are open at the backend server on this host, by request id.
 *
 * <p>This class is thread-safe.
 */
public final class ContextRegistry {
    private final Map<RequestId, List<RequestContext>> contexts = new ConcurrentHashMap<>();

    /**
     * Adds the context of a call that goes to the backend server.
     *
     * @param context the context; not null
     */
    public void add(RequestContext context) {
        contexts.compute(context.requestId(), (id, open) -> {
            List<RequestContext> more = open == null ? new ArrayList<>(1) : new ArrayList<>(open);
            more.add(context);
            return more;
        });
    }

    /**
     * Removes a context after its call has ended.
     *
     * @param context the context; not null
     */
    public void remove(RequestContext context) {
        contexts.computeIfPresent(context.requestId(), (id, open) -> {
            List<RequestContext> rest = new ArrayList<>(open);
            rest.remove(context);
            return rest.isEmpty() ? null : rest;
        });
    }

    /**
     * Finds the parent context of a sub-call. If several calls of one request are open on this host, the newest is
     * returned. The bound on retries holds with any of them, because a retry allowance is only moved, never created.
     *
     * @param requestId the request; not null
     * @return the context, or empty if no call of the request is open on this host
     */
    public Optional<RequestContext> find(RequestId requestId) {
        List<RequestContext> open = contexts.get(requestId);
        return open == null ? Optional.empty() : Optional.of(open.get(open.size() - 1));
    }

    /**
     * Returns the number of requests with an open call.
     *
     * @return the number; not negative
     */
    public int size() {
        return contexts.size();
    }
}
