package org.sequoianotch.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.error.Failure;

/** Guards against invalid input that crashes the listener, gets no response or is accepted as a complete request. */
@Timeout(30)
final class HttpListenerTest {
    private static final int MAX_HEADER_BYTES = 2_048;
    private static final long IDLE_TIMEOUT_MS = 500;
    /** Larger than the send buffer of a socket may grow. */
    private static final int LARGE_BODY_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final CountDownLatch callerGone = new CountDownLatch(1);
    private HttpListener listener;

    @AfterEach
    void close() {
        eventLoops.shutdownGracefully();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    GET /a HTTP/1.1^^                                                   | HTTP/1.1 200 OK
                    POST /a HTTP/1.1^Content-Length: 3^^abc                             | HTTP/1.1 200 OK
                    POST /a HTTP/1.1^Transfer-Encoding: chunked^^3^abc^0^^              | HTTP/1.1 200 OK
                    POST /a HTTP/1.1^Content-Length: 3^Transfer-Encoding: chunked^^abc  | HTTP/1.1 400 Bad Request
                    POST /a HTTP/1.1^Content-Length: x^^abc                             | HTTP/1.1 400 Bad Request
                    NONSENSE^^                                                          | HTTP/1.1 400 Bad Request
                    """)
    void eachRequestGetsOneResponse(String request, String statusLine) throws Exception {
        bind(this::echo);

        assertThat(send(request.strip().replace("^", "\r\n")).lines().findFirst())
                .hasValue(statusLine.strip());
    }

    @Test
    void oversizedHeaderIsRejected() throws Exception {
        bind(this::echo);

        String response = send("GET /a HTTP/1.1\r\nX: " + "x".repeat(2 * MAX_HEADER_BYTES) + "\r\n\r\n");

        assertThat(response).startsWith("HTTP/1.1 400 Bad Request");
        assertThat(response).contains("bad_request");
    }

    @Test
    void incompleteBodyIsAFailure() throws Exception {
        bind(this::echo);

        assertThat(send("POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")).contains("body_incomplete");
    }

    @Test
    void refusedUploadGetsItsResponseBeforeItsBodyIsRead() throws Exception {
        bind(exchange -> exchange.respond(BufferedResponse.ofText(503, "text/plain", "refused")));

        String response = send("PUT /a HTTP/1.1\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n");

        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).doesNotContain("100 Continue");
    }

    @Test
    void closedCallerConnectionIsDetectedWhileItsRequestRuns() throws Exception {
        bind(exchange -> {
            exchange.onClose(callerGone::countDown);
            callerGone.await();
            exchange.abort();
        });
        try (Socket socket = connect()) {
            socket.getOutputStream().write("GET /a HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }

        assertThat(callerGone.await(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against a handler that fails, whose caller would see the connection close without a response. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestWhoseHandlerFailsGetsAResponseAndSoDoesTheNextOne(boolean throwsException) throws Exception {
        bind(exchange -> {
            if (exchange.uri().equals("/next")) {
                exchange.respond(BufferedResponse.ofText(200, "text/plain", "next"));
            } else if (throwsException) {
                throw new IllegalStateException("a defect");
            }
        });

        String responses = send("GET /a HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\nConnection: close\r\n\r\n");

        assertThat(responses).startsWith("HTTP/1.1 500");
        assertThat(responses).endsWith("next");
    }

    @Test
    void stopWaitsForTheRequestInFlight() throws Exception {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        bind(exchange -> {
            running.countDown();
            release.await();
            exchange.respond(BufferedResponse.ofText(200, "text/plain", "whole"));
        });
        try (Socket socket = connect()) {
            socket.getOutputStream().write("GET /a HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            running.await();
            Thread stop = Thread.ofVirtual().start(this::stopListener);
            release.countDown();

            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .endsWith("whole");
            stop.join();
        }
    }

    /** The second request was in the queue of the connection when the stop closed it after the first response. */
    @Test
    void stopServesARequestThatHasArrivedBehindAnother() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        bind(exchange -> {
            exchange.respond(BufferedResponse.ofText(200, "text/plain", "to" + exchange.uri()));
            answered.countDown();
            awaitStop();
        });
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            answered.await();
            Thread stop = Thread.ofVirtual().start(this::stopListener);

            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .endsWith("to/b");
            stop.join();
        }
    }

    private void awaitStop() throws InterruptedException {
        while (!listener.isStopping()) {
            Thread.sleep(1);
        }
    }

    /** The stop closed connections on which only a part of a head had arrived. */
    @Test
    void stopServesARequestWhoseHeadHasBegunToArrive() throws Exception {
        bind(this::echo);
        try (Socket socket = connect()) {
            socket.getOutputStream().write("GET /a HTTP/1.1\r\nX-First: 1\r\n".getBytes(StandardCharsets.US_ASCII));
            // The event loop has read the part of the head once it has served two requests that came later.
            send("GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
            send("GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
            Thread stop = Thread.ofVirtual().start(this::stopListener);
            awaitStop();
            socket.getOutputStream().write("X-Second: 2\r\n\r\n".getBytes(StandardCharsets.US_ASCII));

            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 200");
            stop.join();
        }
    }

    /** A connection that the busy event loop has not accepted yet was reset when the stop closed the socket. */
    @Test
    void stopServesAConnectionThatWaitsToBeAccepted() throws Exception {
        bind(this::echo);
        CountDownLatch busy = new CountDownLatch(1);
        eventLoops.forEach(loop -> loop.execute(() -> {
            try {
                busy.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        try (Socket socket = connect()) {
            socket.getOutputStream().write("GET /a HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Thread stop = Thread.ofVirtual().start(this::stopListener);
            Thread.sleep(50);
            busy.countDown();

            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 200");
            stop.join();
        }
    }

    /** Callers that keep their connections learn of the stop before it happens. */
    @Test
    void drainAnnouncesTheEndOfEachConnection() throws Exception {
        bind(this::echo);
        listener.drain();

        assertThat(send("GET /a HTTP/1.1\r\n\r\n").toLowerCase(Locale.ROOT)).contains("connection: close");
    }

    /**
     * A response that does not fit into the send buffer of the socket was cut when the connection ended: the shutdown
     * discarded what the channel had not sent yet, so that large configurations could not be read.
     */
    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void slowCallerGetsAWholeLargeResponse(ConnectionEnd end) throws Exception {
        byte[] body = new byte[LARGE_BODY_BYTES];
        CountDownLatch answered = new CountDownLatch(1);
        bind(exchange -> {
            exchange.respond(new BufferedResponse(200, List.of(), body));
            answered.countDown();
        });
        try (Socket socket = connectWithSmallReceiveBuffer()) {
            socket.getOutputStream().write(end.request.getBytes(StandardCharsets.US_ASCII));
            answered.await();
            Thread stop = Thread.ofVirtual().start(end.stopsListener ? this::stopListener : () -> {});
            Thread.sleep(2 * IDLE_TIMEOUT_MS);

            byte[] received = socket.getInputStream().readAllBytes();
            assertThat(received.length).isAtLeast(LARGE_BODY_BYTES);
            stop.join();
        }
    }

    /** Why a connection ends behind a response. */
    private enum ConnectionEnd {
        REQUESTED_BY_CALLER("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", false),
        UNREAD_BODY("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", false),
        IDLE("GET /a HTTP/1.1\r\n\r\n", false),
        STOP("GET /a HTTP/1.1\r\n\r\n", true);

        private final String request;
        private final boolean stopsListener;

        ConnectionEnd(String request, boolean stopsListener) {
            this.request = request;
            this.stopsListener = stopsListener;
        }
    }

    private Socket connectWithSmallReceiveBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        socket.connect(listener.address());
        return socket;
    }

    private void stopListener() {
        try {
            listener.stop(10_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void bind(HttpHandler handler) throws InterruptedException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        listener = HttpListener.bind(
                new ListenerOptions("test", address, MAX_HEADER_BYTES, 10, IDLE_TIMEOUT_MS), eventLoops, handler);
    }

    private void echo(HttpExchange exchange) throws InterruptedException {
        Either<Failure, byte[]> body = exchange.readWholeBody(1_000);
        if (body.isLeft()) {
            exchange.respond(ProblemResponse.of(body.getLeft()));
        } else {
            exchange.respond(new BufferedResponse(200, List.of(), body.get()));
        }
    }

    private Socket connect() throws IOException {
        return new Socket(listener.address().getAddress(), listener.address().getPort());
    }

    private String send(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            // The listener closes the connection after the idle timeout. Closing the output here would count as closing
            // the connection, because HTTP callers do not half-close.
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
