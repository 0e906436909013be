package org.sequoianotch.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.sequoianotch.protocol.HeaderField;

/** Converts Netty's HTTP objects to {@link HttpPart}s and adds them to the queue of the connection. */
final class HttpPartDecoder extends ChannelInboundHandlerAdapter {
    /** A server that sends informational responses without end would otherwise never exceed a limit. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 16;

    private static final int FIRST_FINAL_STATUS = 200;

    private final InboundQueue queue;
    private final ChannelWriter writer;
    private final Runnable onClosed;
    private final BooleanSupplier isCut;
    private final DoubleSupplier nowMs;
    private boolean malformed;
    private boolean informational;
    private int informationalResponses;

    /** Creates a decoder of requests; each shows where it ends. */
    HttpPartDecoder(InboundQueue queue, ChannelWriter writer, Runnable onClosed) {
        this(queue, writer, onClosed, () -> false, () -> 0);
    }

    /**
     * Creates a decoder.
     *
     * @param queue receives the parts; not null
     * @param writer notified when the channel accepts more data; not null
     * @param onClosed run when the channel is closed; not null
     * @param isCut whether the channel has ended, but not by an orderly close of the peer; not null
     * @param nowMs returns the monotonic time in milliseconds, for the heads of responses; not null
     */
    HttpPartDecoder(
            InboundQueue queue, ChannelWriter writer, Runnable onClosed, BooleanSupplier isCut, DoubleSupplier nowMs) {
        this.queue = queue;
        this.writer = writer;
        this.onClosed = onClosed;
        this.isCut = isCut;
        this.nowMs = nowMs;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!malformed) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject object) {
        if (object.decoderResult().isFailure()) {
            malformed = true;
            queue.put(new HttpPart.Malformed(
                    String.valueOf(object.decoderResult().cause().getMessage())));
            return;
        }
        if (object instanceof HttpMessage message) {
            readHead(message);
        }
        if (object instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpMessage message) {
        boolean chunked = HttpUtil.isTransferEncodingChunked(message);
        if (message instanceof HttpRequest request) {
            if (chunked && message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                malformed = true;
                queue.put(new HttpPart.Malformed("the request has both Content-Length and Transfer-Encoding"));
                return;
            }
            long bodyBytes = chunked ? -1 : HttpUtil.getContentLength(message, 0L);
            queue.put(new HttpPart.RequestHead(
                    request.method().name(),
                    request.uri(),
                    fields(message.headers()),
                    HttpUtil.isKeepAlive(message),
                    HttpUtil.is100ContinueExpected(message),
                    bodyBytes != 0,
                    bodyBytes));
        } else if (message instanceof HttpResponse response) {
            int status = response.status().code();
            informational = status < FIRST_FINAL_STATUS;
            if (informational) {
                countInformational();
            } else {
                informationalResponses = 0;
                long bodyBytes = chunked ? -1 : HttpUtil.getContentLength(message, -1L);
                boolean isDelimited = chunked || bodyBytes >= 0 || HeaderFields.isBodyless(status);
                boolean keepAlive = HttpUtil.isKeepAlive(message) && isDelimited;
                queue.put(new HttpPart.ResponseHead(
                        status, fields(message.headers()), keepAlive, bodyBytes, isDelimited, nowMs.getAsDouble()));
            }
        }
    }

    private void countInformational() {
        informationalResponses++;
        if (informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
            malformed = true;
            queue.put(new HttpPart.Malformed(
                    "more than " + MAX_INFORMATIONAL_RESPONSES + " informational responses precede the response"));
        }
    }

    private void readContent(HttpContent content) {
        if (informational) {
            return;
        }
        ByteBuf buffer = content.content();
        if (buffer.isReadable()) {
            queue.put(new HttpPart.Data(ByteBufUtil.getBytes(buffer)));
        }
        // When a channel becomes inactive, the codec ends a body that only the end of the connection delimits.
        if (content instanceof LastHttpContent && !isCut.getAsBoolean()) {
            queue.setPartialMessage(false);
            queue.put(new HttpPart.End());
        }
    }

    private static List<HeaderField> fields(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        Iterator<Map.Entry<String, String>> entries = headers.iteratorAsString();
        while (entries.hasNext()) {
            Map.Entry<String, String> entry = entries.next();
            fields.add(new HeaderField(entry.getKey(), entry.getValue()));
        }
        return fields;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writer.onWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        queue.put(new HttpPart.Closed("the peer closed the connection"));
        writer.onWritabilityChanged();
        onClosed.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // After a reset, a response that only the end of the connection delimits is incomplete, so the end of message
        // that the codec may still produce must be ignored.
        malformed = true;
        queue.put(new HttpPart.Closed("the connection failed: " + cause.getMessage()));
        context.close();
    }
}
