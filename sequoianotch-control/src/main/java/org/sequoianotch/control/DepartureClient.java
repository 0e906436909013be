package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.state.ControlError;
import org.sequoianotch.control.state.Departure;
import org.sequoianotch.error.Failure;
import org.sequoianotch.model.HostId;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.task.BroadcastSignal;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * Records the departures of the instances on a host in the control group, and reads them from it.
 *
 * <p>A recorded departure is as durable as an acknowledged change of the configuration. Both requests may be repeated,
 * so each is sent to a second and a third control host if there is no reply in time.
 *
 * <p>This class is thread-safe.
 */
public final class DepartureClient {
    /** A control host that is lost does not reply at all; two more are asked before the caller gives up. */
    private static final int MAX_CONTROL_HOSTS = 3;

    /** Two round trips between regions and two syncs take 100 ms. */
    private static final long HEDGE_DELAY_MS = 250;

    private final PeerRequester requester;
    private final Supplier<List<String>> controlAddresses;
    private final HostId host;
    private final Clock clock;
    /** Moves on to other control hosts after a request without a result, as the first ones may be gone for good. */
    private final AtomicInteger firstAddress = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param requester sends requests to other hosts; not null
     * @param controlAddresses returns the addresses of the control hosts' peer listeners, in order of preference; not
     *     null
     * @param host this host; not null
     * @param clock the clock; not null
     */
    public DepartureClient(PeerRequester requester, Supplier<List<String>> controlAddresses, HostId host, Clock clock) {
        this.requester = Objects.requireNonNull(requester, "requester");
        this.controlAddresses = Objects.requireNonNull(controlAddresses, "controlAddresses");
        this.host = Objects.requireNonNull(host, "host");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records a departure.
     *
     * @param departure the departure; not null
     * @param timeoutMs maximum wait in milliseconds; positive
     * @return the departure once a majority of the group has stored it, or a failure after which it may be recorded or
     *     not
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Either<Failure, Departure> record(Departure departure, long timeoutMs) throws InterruptedException {
        return request(new ControlRequest.RecordDeparture(true, host, departure), timeoutMs)
                .map(stored -> departure);
    }

    /**
     * Reads all recorded departures of this host.
     *
     * @param timeoutMs maximum wait in milliseconds; positive
     * @return the departures, with each one that was recorded before the call, or the failure if no leader with a
     *     majority is reachable
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Either<Failure, List<Departure>> read(long timeoutMs) throws InterruptedException {
        return request(new ControlRequest.ReadDepartures(true, host), timeoutMs).flatMap(DepartureClient::decode);
    }

    private static Either<Failure, List<Departure>> decode(byte[] bytes) {
        try {
            return Either.right(Departure.decodeAll(bytes));
        } catch (IllegalArgumentException e) {
            return Either.left(ControlError.ANSWER_LOST.failure("The response is malformed: " + e.getMessage()));
        }
    }

    /** The replies to one request, of which the first result counts. */
    private static final class Replies {
        private final BroadcastSignal changed = new BroadcastSignal();
        private final AtomicReference<byte @Nullable []> result = new AtomicReference<>();
        private final AtomicReference<Failure> lastFailure =
                new AtomicReference<>(ControlError.NO_LEADER.failure("No control host replied in time."));
        private final AtomicInteger pending = new AtomicInteger();

        void add(Either<Failure, byte[]> reply) {
            reply.peek(bytes -> result.compareAndSet(null, bytes)).peekLeft(lastFailure::set);
        }

        boolean isDecided() {
            return result.get() != null || pending.get() == 0;
        }
    }

    private Either<Failure, byte[]> request(ControlRequest request, long timeoutMs) throws InterruptedException {
        List<String> addresses = controlAddresses.get();
        byte[] payload = request.toBytes();
        Replies replies = new Replies();
        int first = firstAddress.get();
        int hosts = Math.min(MAX_CONTROL_HOSTS, addresses.size());
        double endMs = clock.monotonicMs() + timeoutMs;
        for (int i = 0; i < hosts; i++) {
            long leftMs = (long) Math.ceil(endMs - clock.monotonicMs());
            if (leftMs <= 0) {
                break;
            }
            send(addresses.get(Math.floorMod(first + i, addresses.size())), payload, leftMs, replies);
            boolean isLast = i == hosts - 1;
            replies.changed.await(replies::isDecided, isLast ? leftMs : Math.min(HEDGE_DELAY_MS, leftMs));
            byte[] result = replies.result.get();
            if (result != null) {
                return Either.right(result);
            }
        }
        firstAddress.incrementAndGet();
        return Either.left(replies.lastFailure.get());
    }

    private void send(String address, byte[] payload, long timeoutMs, Replies replies) {
        replies.pending.incrementAndGet();
        TaskThreads.start("departure-request-" + address, () -> {
            try {
                replies.add(requester
                        .request(address, Topic.CONTROL, payload, timeoutMs)
                        .flatMap(ControlRequest::decodeResponse));
            } finally {
                replies.pending.decrementAndGet();
                replies.changed.raise();
            }
        });
    }
}
