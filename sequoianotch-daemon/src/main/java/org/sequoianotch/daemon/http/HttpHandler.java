package org.sequoianotch.daemon.http;

/**
 * Serves the requests of a listener.
 *
 * <p>It is called on the virtual thread of the connection and may block. Implementations are thread-safe, because
 * several connections call them concurrently.
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Serves one request. The handler must respond or abort before it returns.
     *
     * @param exchange the request and its response; not null
     * @throws InterruptedException if the node is being stopped
     */
    void handle(HttpExchange exchange) throws InterruptedException;
}
