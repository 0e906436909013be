package org.sequoianotch.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.HeaderField;

/**
 * A request on a connection and the response to it.
 *
 * <p>This class is not thread-safe: one thread serves an exchange. Only {@link #onClose} actions run on other threads.
 */
public final class HttpExchange {
    /** Placeholder for the head of a request that could not be parsed. */
    static final HttpPart.RequestHead MALFORMED_HEAD =
            new HttpPart.RequestHead("GET", "/", List.of(), false, false, true, -1);

    static final long WRITE_TIMEOUT_MS = 30_000;

    private final ServerConnection connection;
    private final HttpPart.RequestHead head;
    private final long readTimeoutMs;
    private boolean continueSent;
    private boolean bodyRead;
    private boolean headSent;
    private boolean finished;
    private boolean aborted;
    private boolean keepAlive;

    HttpExchange(ServerConnection connection, HttpPart.RequestHead head, long readTimeoutMs) {
        this.connection = connection;
        this.head = head;
        this.readTimeoutMs = readTimeoutMs;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method, never null
     */
    public String method() {
        return head.method();
    }

    /**
     * Returns the request target as received.
     *
     * @return path and query, never null
     */
    public String uri() {
        return head.uri();
    }

    /**
     * Returns the request headers.
     *
     * @return the headers, never null
     */
    public List<HeaderField> headers() {
        return head.headers();
    }

    /**
     * Returns a request header.
     *
     * @param name the field name in any case; not null
     * @return the first value, or empty if the header is missing
     */
    public Optional<String> header(String name) {
        return HeaderFields.first(head.headers(), name);
    }

    /**
     * Returns the address of the caller, for log lines.
     *
     * @return address and port, never null
     */
    public String callerAddress() {
        return String.valueOf(connection.channel().remoteAddress());
    }

    /**
     * Returns the length of the body.
     *
     * @return the length in bytes, zero for no body, or -1 if it is not known in advance
     */
    public long bodyBytes() {
        return head.bodyBytes();
    }

    /**
     * Returns whether the request has a body.
     *
     * @return true if the headers announce a body
     */
    public boolean hasBody() {
        return head.hasBody();
    }

    /**
     * Reads the next part of the body.
     *
     * @return the part, empty at the end of a complete body, or the failure that truncated the body
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Either<Failure, Optional<byte[]>> readBody() throws InterruptedException {
        if (bodyRead) {
            return Either.right(Optional.empty());
        }
        sendContinue();
        Optional<HttpPart> part = connection.queue().take(readTimeoutMs);
        if (part.isEmpty()) {
            return Either.left(Failure.of(
                    ErrorKind.BODY_INCOMPLETE, "No part of the request body arrived within " + readTimeoutMs + " ms."));
        }
        return switch (part.get()) {
            case HttpPart.Data data -> Either.right(Optional.of(data.bytes()));
            case HttpPart.End end -> {
                bodyRead = true;
                yield Either.right(Optional.empty());
            }
            case HttpPart.Malformed malformed -> Either.left(Failure.of(ErrorKind.BODY_INCOMPLETE, malformed.reason()));
            default -> Either.left(Failure.of(ErrorKind.BODY_INCOMPLETE, "The caller closed its connection."));
        };
    }

    /**
     * Reads the whole body.
     *
     * @param maxBytes largest body accepted, in bytes; positive
     * @return the body, or the failure if it is incomplete or too large
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Either<Failure, byte[]> readWholeBody(int maxBytes) throws InterruptedException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (true) {
            Either<Failure, Optional<byte[]>> part = readBody();
            if (part.isLeft()) {
                return Either.left(part.getLeft());
            }
            if (part.get().isEmpty()) {
                return Either.right(whole.toByteArray());
            }
            whole.writeBytes(part.get().get());
            if (whole.size() > maxBytes) {
                return Either.left(
                        Failure.of(ErrorKind.BAD_REQUEST, "The body is larger than " + maxBytes + " bytes."));
            }
        }
    }

    private void sendContinue() throws InterruptedException {
        if (head.expectsContinue() && !continueSent) {
            continueSent = true;
            connection
                    .writer()
                    .write(
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                            WRITE_TIMEOUT_MS);
        }
    }

    /**
     * Sends a complete response.
     *
     * @param response the response; not null
     * @return true if it was passed to the connection
     * @throws IllegalStateException if a response was already sent
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean respond(BufferedResponse response) throws InterruptedException {
        requireNoResponseSent();
        DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                Unpooled.wrappedBuffer(response.body()));
        HeaderFields.addAll(message.headers(), response.headers());
        if (!HeaderFields.isBodyless(response.status())) {
            long lengthBytes = head.method().equals("HEAD")
                    ? HeaderFields.first(response.headers(), "content-length")
                            .map(Long::parseLong)
                            .orElse(0L)
                    : response.body().length;
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
        }
        headSent = true;
        finished = true;
        keepAlive = computeKeepAlive();
        HttpUtil.setKeepAlive(message, keepAlive);
        return connection.writer().write(message, WRITE_TIMEOUT_MS);
    }

    /**
     * Starts a streamed response.
     *
     * @param status the HTTP status
     * @param headers the headers without Content-Length and Transfer-Encoding; not null
     * @param bodyBytes length of the body in bytes, or -1 if it is not known in advance
     * @return true if it was passed to the connection
     * @throws IllegalStateException if a response was already sent
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean start(int status, List<HeaderField> headers, long bodyBytes) throws InterruptedException {
        requireNoResponseSent();
        headSent = true;
        DefaultHttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        HeaderFields.addAll(message.headers(), headers);
        if (bodyBytes >= 0) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        } else {
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        keepAlive = computeKeepAlive();
        HttpUtil.setKeepAlive(message, keepAlive);
        return connection.writer().write(message, WRITE_TIMEOUT_MS);
    }

    /**
     * Sends a part of a streamed response. Waits while the caller does not read.
     *
     * @param bytes the part; not null
     * @return true if it was passed to the connection
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean write(byte[] bytes) throws InterruptedException {
        return connection.writer().write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), WRITE_TIMEOUT_MS);
    }

    /**
     * Completes a streamed response.
     *
     * @return true if the end was passed to the connection
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean end() throws InterruptedException {
        finished = true;
        return connection.writer().write(LastHttpContent.EMPTY_LAST_CONTENT, WRITE_TIMEOUT_MS);
    }

    /** Closes the connection without completing the response, so that the caller never takes it for a complete one. */
    public void abort() {
        aborted = true;
        finished = true;
        connection.close();
    }

    /**
     * Runs an action once if the caller closes its connection before the exchange ends. Runs it immediately if the
     * connection is already closed.
     *
     * @param action the action, which must not block; not null
     */
    public void onClose(Runnable action) {
        connection.onClose(action);
    }

    /**
     * Returns whether this node closed the connection, as opposed to the caller.
     *
     * @return true if the connection was closed by this node
     */
    public boolean isClosedByNode() {
        return connection.isClosedByNode();
    }

    /**
     * Returns whether the head of the response was sent.
     *
     * @return true if status and headers can no longer be changed
     */
    public boolean isHeadSent() {
        return headSent;
    }

    boolean isFinished() {
        return finished;
    }

    /** Returns whether the response announced that the connection stays open, and nothing has prevented it since. */
    boolean isReusable() {
        return keepAlive && !aborted;
    }

    private boolean computeKeepAlive() {
        boolean bodyConsumed = bodyRead || !head.hasBody() && consumeEmptyBody();
        return head.keepAlive() && bodyConsumed && !connection.isDraining();
    }

    private boolean consumeEmptyBody() {
        try {
            return readBody().map(Optional::isEmpty).getOrElse(false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void requireNoResponseSent() {
        if (headSent) {
            throw new IllegalStateException("A response to " + head.method() + " " + head.uri() + " was already sent");
        }
    }
}
