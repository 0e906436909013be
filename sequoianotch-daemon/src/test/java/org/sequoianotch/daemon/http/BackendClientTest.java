package org.sequoianotch.daemon.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.link.Transport;
import org.sequoianotch.time.SystemClock;

/** Guards against truncated responses of a backend server that are forwarded as complete ones. */
@Timeout(30)
final class BackendClientTest {
    private static final long TIMEOUT_MS = 5_000;

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    /** The transport of the processes, which is a native one where there is one. */
    private final Transport transport = Transport.create(1);

    private final AtomicInteger accepted = new AtomicInteger();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        eventLoops.shutdownGracefully();
        transport.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    HTTP/1.1 200 OK^Content-Length: 4^^abcd             | abcd
                    HTTP/1.1 200 OK^Transfer-Encoding: chunked^^2^ab^0^^| ab
                    HTTP/1.1 204 No Content^^                           | ''
                    HTTP/1.1 200 OK^Content-Length: 9^^abcd             | backend_cut_answer
                    HTTP/1.1 200 OK^Transfer-Encoding: chunked^^2^ab^   | backend_cut_answer
                    HTTP/1.1 200 OK^^abcd                               | backend_cut_answer
                    NOT HTTP AT ALL^^                                   | backend_cut_answer
                    ''                                                  | connection_lost
                    """)
    void onlyCompleteResponsesAreAccepted(String response, String expected) throws Exception {
        serve(response.strip().replace("^", "\r\n"), true);
        BackendConnection connection = client().connect().get();

        String result = call(connection).fold(failure -> failure.kind().code(), body -> body);

        assertThat(result).isEqualTo(expected.strip());
    }

    /**
     * Some backend servers send responses with neither Content-Length nor chunked encoding, whose body ends with the
     * connection.
     */
    @Test
    void closeDelimitedResponseIsCompleteWhereAccepted() throws Exception {
        serve("HTTP/1.1 200 OK\r\n\r\nabcd", true);

        assertThat(call(closeDelimitedClient().connect().get()).get()).isEqualTo("abcd");
    }

    /**
     * A backend server that crashes can truncate its response at any byte, also within the head. A head that breaks off
     * must not be taken for a whole one whose body ends with the connection, on either transport, also behind a whole
     * response.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    HTTP/1.1 200 OK^X-First: a1^X-Second: s^Content-Length: 4^^abcd   | false | false
                    HTTP/1.1 200 OK^Content-Length: 4^X-First: a1^X-Second: s^^abcd   | true  | false
                    HTTP/1.1 200 OK^Content-Length: 12^X-First: a1^^abcdefghijkl      | true  | true
                    HTTP/1.0 200 OK^X-First: a1^Content-Length: 4^^abcd               | true  | false
                    HTTP/1.1 200 OK^Transfer-Encoding: chunked^X-First: a1^^2^ab^0^^  | true  | true
                    """)
    void responseTruncatedAtAnyByteIsAFailure(String response, boolean nativeTransport, boolean reset)
            throws Exception {
        String complete = response.strip().replace("^", "\r\n");
        EventLoopGroup loops = nativeTransport ? transport.eventLoops() : eventLoops;
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for (int length = 0; length < complete.length(); length++) {
            serveThenTruncate(whole, complete.substring(0, length), reset);
            BackendClient client = closeDelimitedClient(loops);
            BackendConnection first = client.connect().get();
            assertThat(call(first).get()).isEqualTo("ok");
            first.release();

            Either<Failure, String> result = call(client.connect().get());

            assertWithMessage("truncated after %s bytes", length)
                    .that(result.isLeft())
                    .isTrue();
        }
    }

    private void serveThenTruncate(String first, String truncated, boolean reset) {
        Thread.ofVirtual().start(() -> {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4_096]);
                socket.getOutputStream().write(first.getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().read(new byte[4_096]);
                socket.getOutputStream().write(truncated.getBytes(StandardCharsets.US_ASCII));
                if (reset) {
                    Thread.sleep(20);
                    socket.setSoLinger(true, 0);
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** A reset also ends the connection, but the response is truncated. */
    @Test
    void closeDelimitedResponseIsTruncatedByAReset() throws Exception {
        Thread.ofVirtual().start(() -> {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4_096]);
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nabcd".getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(100);
                socket.setSoLinger(true, 0);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });

        assertThat(call(closeDelimitedClient().connect().get()).getLeft().kind())
                .isEqualTo(ErrorKind.BACKEND_CUT_ANSWER);
    }

    /**
     * A deadline or a cancellation closes the connection on our side. A body that only the end of the connection
     * delimits must not be taken for complete then, whatever part of it has arrived.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nabcd", "HTTP/1.0 200 OK\r\n\r\nabcd"})
    void closeDelimitedResponseIsTruncatedByOurOwnClose(String partial) throws Exception {
        serve(partial, false);
        BackendConnection connection = closeDelimitedClient().connect().get();
        connection.start("GET", "/", List.of(), 0, TIMEOUT_MS);
        assertThat(connection.awaitResponse(TIMEOUT_MS).isRight()).isTrue();
        if (partial.endsWith("abcd")) {
            assertThat(connection.readResponseBody(TIMEOUT_MS).get().orElseThrow())
                    .isEqualTo("abcd".getBytes(StandardCharsets.US_ASCII));
        }

        connection.close();

        assertThat(connection.readResponseBody(TIMEOUT_MS).getLeft().kind()).isEqualTo(ErrorKind.BACKEND_CUT_ANSWER);
    }

    /**
     * The end of the connection must be noticed also if it arrives before the first request is sent. Repeated, because
     * the channel may be closed before or after its handlers are added.
     */
    @RepeatedTest(50)
    void connectionThatEndsBeforeItsFirstRequestIsClosed() throws Exception {
        Thread.ofVirtual().start(() -> {
            try {
                server.accept().close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        BackendConnection connection = closeDelimitedClient().connect().get();
        connection.start("GET", "/", List.of(), 0, TIMEOUT_MS);

        assertThat(connection.awaitResponse(TIMEOUT_MS).getLeft().kind()).isEqualTo(ErrorKind.CONNECTION_LOST);
    }

    /** A second response that arrives late must not be taken for the response to the next request. */
    @Test
    void connectionWithUnexpectedInputIsNotReused() throws Exception {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false);
        BackendClient client = client();
        BackendConnection first = client.connect().get();
        assertThat(call(first).get()).isEqualTo("ok");
        Thread.sleep(100);
        first.release();

        assertThat(call(client.connect().get()).get()).isEqualTo("ok");

        assertThat(accepted.get()).isEqualTo(2);
    }

    private BackendClient closeDelimitedClient() {
        return closeDelimitedClient(eventLoops);
    }

    private BackendClient closeDelimitedClient(EventLoopGroup loops) {
        return new BackendClient(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                loops,
                1_000,
                true,
                SystemClock.INSTANCE);
    }

    @Test
    void refusedConnectionProvesNotRun() throws Exception {
        int port = server.getLocalPort();
        server.close();

        Failure failure = clientOf(port).connect().getLeft();

        assertThat(failure.provesNotRun()).isTrue();
    }

    @Test
    void connectionIsReusedAfterACompleteResponse() throws Exception {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
        BackendClient client = client();
        BackendConnection first = client.connect().get();
        assertThat(call(first).get()).isEqualTo("ok");
        first.release();

        assertThat(call(client.connect().get()).get()).isEqualTo("ok");

        assertThat(accepted.get()).isEqualTo(1);
    }

    @Test
    void missingResponseLeavesTheRequestInDoubt() throws Exception {
        BackendConnection connection = client().connect().get();
        connection.start("GET", "/", List.of(), 0, TIMEOUT_MS);

        assertThat(connection.awaitResponse(50).getLeft().kind()).isEqualTo(ErrorKind.DEADLINE_IN_DOUBT);
    }

    private BackendClient client() {
        return clientOf(server.getLocalPort());
    }

    private BackendClient clientOf(int port) {
        return new BackendClient(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), eventLoops, 1_000, SystemClock.INSTANCE);
    }

    private static Either<Failure, String> call(BackendConnection connection) throws InterruptedException {
        connection.start("GET", "/", List.of(), 0, TIMEOUT_MS);
        Either<Failure, ResponseHeader> head = connection.awaitResponse(TIMEOUT_MS);
        if (head.isLeft()) {
            return Either.left(head.getLeft());
        }
        StringBuilder body = new StringBuilder();
        while (true) {
            Either<Failure, Optional<byte[]>> part = connection.readResponseBody(TIMEOUT_MS);
            if (part.isLeft()) {
                return Either.left(part.getLeft());
            }
            if (part.get().isEmpty()) {
                return Either.right(body.toString());
            }
            body.append(new String(part.get().get(), StandardCharsets.US_ASCII));
        }
    }

    /** Sends the same response to each request on each connection, and optionally closes the connection after it. */
    private void serve(String response, boolean closeAfterwards) {
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                    accepted.incrementAndGet();
                    byte[] buffer = new byte[4_096];
                    while (socket.getInputStream().read(buffer) > 0) {
                        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                        if (closeAfterwards) {
                            break;
                        }
                    }
                } catch (IOException e) {
                    return;
                }
            }
        });
    }
}
