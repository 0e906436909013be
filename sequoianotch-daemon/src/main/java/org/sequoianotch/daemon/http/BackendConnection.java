package org.sequoianotch.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.protocol.HeaderField;
import org.sequoianotch.protocol.ResponseHeader;

/**
 * A connection to a backend server, which carries one call at a time.
 *
 * <p>This class is not thread-safe, except for {@link #close}, which other threads may call to cancel the call.
 */
public final class BackendConnection {
    private static final Logger LOG = LogManager.getLogger(BackendConnection.class);
    /** Bounds the memory of a connection; a new one after so many refusals costs little. */
    private static final int MAX_REFUSED_REQUESTS = 16;

    private final BackendClient client;
    private final Channel channel;
    private final InboundQueue queue;
    private final ChannelWriter writer;
    private final boolean acceptsCloseDelimitedBody;
    private volatile boolean reusable;
    private boolean requestComplete;
    private boolean headRequest;
    private boolean reused;
    private double headReceivedAtMs;
    /** The requests that the backend server refused on this connection; it may send a refusal a second time. */
    private final Set<RequestId> refusedRequests = new HashSet<>();
    /** Whether the connection is in the pool, so that no response can be due on it. */
    private volatile boolean idle;

    private volatile double idleSinceMs;
    private volatile double maxIdleMs = BackendClient.DEFAULT_MAX_IDLE_MS;

    BackendConnection(
            BackendClient client,
            Channel channel,
            InboundQueue queue,
            ChannelWriter writer,
            boolean acceptsCloseDelimitedBody) {
        this.client = client;
        this.channel = channel;
        this.queue = queue;
        this.writer = writer;
        this.acceptsCloseDelimitedBody = acceptsCloseDelimitedBody;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    /** Returns whether all received data has been read. */
    boolean hasNoUnreadInput() {
        return queue.isEmpty();
    }

    double maxIdleMs() {
        return maxIdleMs;
    }

    /**
     * Sets how long the connection may be idle and still be reused.
     *
     * @param newMaxIdleMs the limit in milliseconds; positive
     */
    public void setMaxIdleMs(double newMaxIdleMs) {
        maxIdleMs = newMaxIdleMs;
    }

    /**
     * Returns whether a response has begun to arrive or the connection has ended.
     *
     * @return true if {@link #awaitResponse} would return without waiting
     */
    public boolean hasResponse() {
        return !queue.isEmpty();
    }

    /**
     * Returns whether an earlier call used the connection. The backend server may close such a connection at any time.
     *
     * @return false if the connection was opened for the current call
     */
    public boolean isReused() {
        return reused;
    }

    /**
     * Records that the backend server refused a request on this connection.
     *
     * @param requestId the request; not null
     */
    public void recordRefusal(RequestId requestId) {
        refusedRequests.add(requestId);
        reusable &= refusedRequests.size() < MAX_REFUSED_REQUESTS;
    }

    /**
     * Returns whether the backend server refused a request on this connection. A copy of that refusal could not be told
     * from the response, if the request was sent over the connection again.
     *
     * @param requestId the request; not null
     * @return true if the request must not be sent over this connection
     */
    public boolean hasRefused(RequestId requestId) {
        return refusedRequests.contains(requestId);
    }

    /**
     * Returns whether the backend server refused any request on this connection.
     *
     * @return true if a refusal that names no request may be a copy of an earlier one
     */
    public boolean hasRefusedAny() {
        return !refusedRequests.isEmpty();
    }

    /** Marks the connection as pooled; returns false if it has received bytes that belong to no request. */
    boolean startIdle(double nowMs) {
        idleSinceMs = nowMs;
        idle = true;
        return queue.isEmpty();
    }

    void endIdle() {
        idle = false;
        reused = true;
    }

    /** Closes the connection if bytes arrive while it is idle. Otherwise they could arrive without end. */
    ChannelInboundHandler idleGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (!idle) {
                    context.fireChannelRead(message);
                    return;
                }
                ReferenceCountUtil.release(message);
                if (channel.isOpen()) {
                    LOG.warn(
                            "[call] Closed an idle connection to {}: it received bytes that belong to no request.",
                            channel.remoteAddress());
                    channel.close();
                }
            }
        };
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    /**
     * Sends the head of a request.
     *
     * @param method the HTTP method; not null
     * @param path path and query; not null
     * @param headers the headers without Content-Length and Transfer-Encoding; not null
     * @param bodyBytes length of the body in bytes, zero for no body, or -1 if it is not known in advance
     * @param timeoutMs longest wait in milliseconds
     * @return true if the head was passed to the connection; false proves that nothing was sent
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean start(String method, String path, List<HeaderField> headers, long bodyBytes, long timeoutMs)
            throws InterruptedException {
        reusable = false;
        requestComplete = bodyBytes == 0;
        headRequest = method.equals("HEAD");
        HttpRequest request;
        if (bodyBytes == 0) {
            request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, Unpooled.EMPTY_BUFFER);
        } else {
            request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path);
        }
        setHeaders(request.headers(), headers, method, bodyBytes);
        return channel.isActive() && writer.write(request, timeoutMs);
    }

    private void setHeaders(HttpHeaders target, List<HeaderField> headers, String method, long bodyBytes) {
        HeaderFields.addAll(target, headers);
        if (!target.contains(HttpHeaderNames.HOST)) {
            target.set(HttpHeaderNames.HOST, "backend");
        }
        if (bodyBytes < 0) {
            target.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (bodyBytes > 0 || !method.equals("GET")) {
            target.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        }
    }

    /**
     * Waits until the connection accepts more data.
     *
     * @param timeoutMs longest wait in milliseconds
     * @return true if it accepts more data, or false after the timeout or if it is closed
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitWritable(long timeoutMs) throws InterruptedException {
        return writer.awaitWritable(timeoutMs);
    }

    /**
     * Sends a part of the body. Waits while the backend server does not read.
     *
     * @param bytes the part; not null
     * @param timeoutMs longest wait in milliseconds
     * @return true if it was passed to the connection
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean write(byte[] bytes, long timeoutMs) throws InterruptedException {
        return writer.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), timeoutMs);
    }

    /**
     * Sends the end of the body, which completes the request.
     *
     * @param timeoutMs longest wait in milliseconds
     * @return true if it was passed to the connection
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean end(long timeoutMs) throws InterruptedException {
        requestComplete = true;
        return writer.write(LastHttpContent.EMPTY_LAST_CONTENT, timeoutMs);
    }

    /**
     * Waits for the head of the response.
     *
     * @param timeoutMs longest wait in milliseconds
     * @return the head, or the failure if none arrived, the response is malformed or nothing delimits its body
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Either<Failure, ResponseHeader> awaitResponse(long timeoutMs) throws InterruptedException {
        Optional<HttpPart> part = queue.take(timeoutMs);
        if (part.isEmpty()) {
            return Either.left(Failure.of(
                    ErrorKind.DEADLINE_IN_DOUBT, "The backend server sent no response within " + timeoutMs + " ms."));
        }
        return switch (part.get()) {
            case HttpPart.ResponseHead head -> {
                reusable = head.keepAlive();
                headReceivedAtMs = head.receivedAtMs();
                yield requireDelimitedBody(head);
            }
            case HttpPart.Malformed malformed -> Either.left(Failure.of(
                    ErrorKind.BACKEND_CUT_ANSWER,
                    "The backend server's response is malformed: " + malformed.reason() + "."));
            default -> Either.left(Failure.of(
                    ErrorKind.CONNECTION_LOST, "The backend server closed the connection without a response."));
        };
    }

    /**
     * Returns when the head arrived that {@link #awaitResponse} returned last. The call may have been busy with the
     * request body then.
     *
     * @return the time on the monotonic clock, in milliseconds
     */
    public double headReceivedAtMs() {
        return headReceivedAtMs;
    }

    /** Rejects a body that only the end of the connection delimits: it cannot be distinguished from a truncated one. */
    private Either<Failure, ResponseHeader> requireDelimitedBody(HttpPart.ResponseHead head) {
        if (!head.isDelimited() && !headRequest && !acceptsCloseDelimitedBody) {
            return Either.left(Failure.of(
                    ErrorKind.BACKEND_CUT_ANSWER,
                    "The backend server's response has neither a Content-Length nor chunked encoding, so it cannot be"
                            + " checked for completeness."));
        }
        return Either.right(new ResponseHeader(head.status(), head.headers(), head.bodyBytes()));
    }

    /**
     * Reads the next part of the response body.
     *
     * @param timeoutMs longest wait in milliseconds
     * @return the part, empty at the end of a complete body, or the failure that truncated the body
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Either<Failure, Optional<byte[]>> readResponseBody(long timeoutMs) throws InterruptedException {
        Optional<HttpPart> part = queue.take(timeoutMs);
        if (part.isEmpty()) {
            return Either.left(Failure.of(
                    ErrorKind.DEADLINE_IN_DOUBT,
                    "The backend server sent no further part of its response within " + timeoutMs + " ms."));
        }
        return switch (part.get()) {
            case HttpPart.Data data -> Either.right(Optional.of(data.bytes()));
            case HttpPart.End end -> Either.right(Optional.empty());
            default -> Either.left(Failure.of(
                    ErrorKind.BACKEND_CUT_ANSWER,
                    "The backend server closed the connection before its response was complete."));
        };
    }

    /** Ends a call whose response was read completely. Returns the connection to the pool if it can be reused. */
    public void release() {
        if (reusable && requestComplete && channel.isActive()) {
            client.returnToPool(this);
        } else {
            channel.close();
        }
    }

    /** Closes the connection, which cancels the call at the backend server. */
    public void close() {
        reusable = false;
        channel.close();
    }
}
