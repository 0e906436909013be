package org.sequoianotch.daemon.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoianotch.model.RequestId;

/**
 * The contexts of the calls that are open at this host's backend server, by request.
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
     * Finds the context for a sub-call. If several calls of one request are open here, the newest counts; allowance is
     * only ever moved, so the bound on retries holds whichever is taken.
     *
     * @param requestId the request; not null
     * @return the context, or empty if no call of the request is open here
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
