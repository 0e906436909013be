package org.sequoianotch.protocol.link;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.DataCentre;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.LoadReport;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.protocol.CallHeader;
import org.sequoianotch.protocol.ResponseHeader;
import org.sequoianotch.protocol.ResponseTrailer;
import org.sequoianotch.time.SystemClock;

/** Calling and called node in one process, connected over the loopback interface. */
final class Peers implements AutoCloseable {
    static final ResponseTrailer TRAILER = new ResponseTrailer(1, new LoadReport(2, 10, 3, 2.5));
    static final ResponseHeader OK = new ResponseHeader(200, List.of(), CallHeader.LENGTH_UNKNOWN);
    static final String KEY = "a deployment key for tests";
    static final long WAIT_MS = 10_000;

    final Transport transport = Transport.create(2);
    final LinkCounters callerCounters = new LinkCounters();
    final LinkCounters calleeCounters = new LinkCounters();
    final PeerLinks links;
    final PeerListener listener;
    final String address;

    Peers(CallHandler handler) {
        this(handler, options("caller", KEY, null), options("callee", KEY, null));
    }

    Peers(CallHandler handler, LinkOptions callerOptions, LinkOptions calleeOptions) {
        links = new PeerLinks(callerOptions, transport, SystemClock.INSTANCE, callerCounters);
        listener = new PeerListener(calleeOptions, transport, SystemClock.INSTANCE, calleeCounters, handler);
        address = "127.0.0.1:" + listener.start("127.0.0.1:0").get().getPort();
    }

    static LinkOptions options(String host, String key, @Nullable TlsOptions tls) {
        return new LinkOptions(HostId.of(host), DataCentre.of("dc1"), key, 50, WAIT_MS, (int) WAIT_MS, tls);
    }

    /** Creates two nodes with the given silence timeout. */
    static Peers withSilenceTimeout(CallHandler handler, long silenceTimeoutMs) {
        return new Peers(handler, linkOptions("caller", silenceTimeoutMs), linkOptions("callee", silenceTimeoutMs));
    }

    private static LinkOptions linkOptions(String host, long silenceTimeoutMs) {
        return new LinkOptions(HostId.of(host), DataCentre.of("dc1"), KEY, 50, silenceTimeoutMs, (int) WAIT_MS, null);
    }

    static CallHeader header(String path) {
        return new CallHeader(
                new RequestId(1, 2),
                ServiceName.of("jobbook"),
                "POST",
                path,
                List.of(),
                WAIT_MS,
                CallHeader.NO_TARGET,
                Criticality.CRITICAL,
                2,
                0,
                null,
                CallHeader.LENGTH_UNKNOWN);
    }

    PeerCall open(String path) {
        return links.open(address, header(path)).get();
    }

    /** Responds with the path and the body of the call. */
    static void echo(IncomingCall call) {
        byte[] body = readAll(call::readBody).get();
        call.startResponse(OK);
        call.writeBody(call.header().path().getBytes());
        call.writeBody(body);
        call.endResponse(TRAILER);
    }

    static Either<Failure, byte[]> responseOf(PeerCall call) {
        return call.awaitResponse(WAIT_MS).flatMap(head -> readAll(() -> call.readResponseBody(WAIT_MS)));
    }

    static Either<Failure, byte[]> readAll(Supplier<Either<Failure, Optional<byte[]>>> read) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            Either<Failure, Optional<byte[]>> part = read.get();
            if (part.isLeft()) {
                return Either.left(part.getLeft());
            }
            if (part.get().isEmpty()) {
                return Either.right(all.toByteArray());
            }
            all.writeBytes(part.get().get());
        }
    }

    static void await(BooleanSupplier condition) throws Exception {
        long endNs = System.nanoTime() + WAIT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new TimeoutException("The condition was not met within " + WAIT_MS + " ms");
            }
            Thread.sleep(1);
        }
    }

    @Override
    public void close() {
        links.close();
        listener.close();
        transport.close();
    }
}
