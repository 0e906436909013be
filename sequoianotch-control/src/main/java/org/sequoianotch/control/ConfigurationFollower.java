package org.sequoianotch.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.control.ControlRequest.FetchResponse;
import org.sequoianotch.control.state.TemplateTexts;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.error.Failure;
import org.sequoianotch.protocol.Topic;
import org.sequoianotch.protocol.link.PeerRequestHandler;
import org.sequoianotch.protocol.link.PeerRequester;
import org.sequoianotch.settings.SettingsProblem;
import org.sequoianotch.task.TaskThreads;
import org.sequoianotch.time.Clock;

/**
 * A node's copy of the configuration in force, which follows the control group and never returns to a lower revision.
 *
 * <p>It keeps a long poll open at one control host. If this host is unreachable or has lost contact with the group, it
 * fails over to the next one; if no control host is in contact with the group, it polls neighbours. Use: create it,
 * register {@link #requestHandler} for {@link Topic#CONTROL} unless the host is a control host, and call
 * {@link #start}.
 *
 * <p>This class is thread-safe.
 *
 * @param <T> type of the parsed configuration
 */
public class ConfigurationFollower<T> implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(ConfigurationFollower.class);
    private static final long MAX_FETCH_WAIT_MS = 30_000;
    /** Time at another control host after which the preferred one is tried again. */
    private static final long PREFERRED_HOST_RETRY_MS = 60_000;

    private final FollowerOptions options;
    private final Supplier<List<String>> controlAddresses;
    private final Function<TemplateTexts, Either<List<SettingsProblem>, T>> reader;
    private final PeerRequester requester;
    private final Clock clock;
    private final Supplier<List<String>> neighbours;
    private final Random random;
    private final RevisionNotifier revisions = new RevisionNotifier();
    private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean hintFetchInProgress = new AtomicBoolean();
    private volatile T current;
    private volatile long currentRevision;
    private volatile boolean closed;
    private final AtomicBoolean started = new AtomicBoolean();
    private volatile @Nullable Thread thread;
    private int addressIndex;
    private double leftPreferredAtMs;
    /** Highest revision that could not be parsed here; it is not fetched again. */
    private volatile long unreadableRevision;

    /**
     * Creates a follower that is not started.
     *
     * @param options the options; not null
     * @param controlAddresses supplies the peer addresses of the control hosts, the preferred one first; called for
     *     each round; not null
     * @param initial configuration in force until a higher revision is received; not null
     * @param initialRevision revision of the initial configuration
     * @param reader parses the texts of a revision; not null
     * @param requester sends requests to other hosts; not null
     * @param clock the clock; not null
     * @param neighbours supplies the peer addresses of other nodes; called for each selection; not null
     * @param random selects the neighbours to poll; not null
     */
    public ConfigurationFollower(
            FollowerOptions options,
            Supplier<List<String>> controlAddresses,
            T initial,
            long initialRevision,
            Function<TemplateTexts, Either<List<SettingsProblem>, T>> reader,
            PeerRequester requester,
            Clock clock,
            Supplier<List<String>> neighbours,
            Random random) {
        this.options = Objects.requireNonNull(options, "options");
        this.controlAddresses = Objects.requireNonNull(controlAddresses, "controlAddresses");
        this.current = Objects.requireNonNull(initial, "initial");
        this.currentRevision = initialRevision;
        this.reader = Objects.requireNonNull(reader, "reader");
        this.requester = Objects.requireNonNull(requester, "requester");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.neighbours = Objects.requireNonNull(neighbours, "neighbours");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Fetches the highest revision from all control hosts and some neighbours, and then follows in the background.
     *
     * @throws IllegalStateException if the follower was started before
     */
    public void start() {
        if (!started.compareAndSet(false, true)) {
            throw new IllegalStateException("the follower is already started");
        }
        // Must not hold the lock: the tasks that fetch need it to apply a higher revision.
        fetchFromAll();
        thread = TaskThreads.start("configuration-follower", this::followLoop);
    }

    /** Fetches from all control hosts and some neighbours, and applies the highest revision. */
    void fetchFromAll() {
        Set<String> addresses = new LinkedHashSet<>(controlAddresses.get());
        addresses.addAll(randomNeighbours(options.startupNeighbours()));
        List<Thread> requests = new ArrayList<>();
        for (String address : addresses) {
            requests.add(TaskThreads.start("configuration-fetch", () -> fetch(address, 0)));
        }
        try {
            for (Thread request : requests) {
                request.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private List<String> randomNeighbours(int count) {
        List<String> addresses = new ArrayList<>(neighbours.get());
        Collections.shuffle(addresses, random);
        return addresses.subList(0, Math.min(count, addresses.size()));
    }

    private void followLoop() {
        try {
            while (!closed) {
                if (!pollRoundSafely()) {
                    clock.sleep(options.retryMs());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a poll round; an unexpected exception must not stop the node from following later revisions. */
    private boolean pollRoundSafely() {
        try {
            return pollRound(options.pollWaitMs());
        } catch (RuntimeException e) {
            LOGGER.error(
                    "[control] Polling the control hosts failed with an unexpected exception; retrying after {} ms.",
                    options.retryMs(),
                    e);
            return false;
        }
    }

    /**
     * Polls control hosts in turn until one is in contact with the group; if none is, polls two neighbours.
     *
     * @param waitMs how long the first control host may hold the request, in milliseconds; not negative
     * @return true if a control host in contact with the group responded
     */
    boolean pollRound(long waitMs) {
        List<String> addresses = controlAddresses.get();
        if (addressIndex != 0 && clock.monotonicMs() - leftPreferredAtMs > PREFERRED_HOST_RETRY_MS) {
            addressIndex = 0;
        }
        for (int i = 0; i < addresses.size() && !closed; i++) {
            // Only the first host holds the request, so that failover does not wait for each of the others.
            addressIndex %= addresses.size();
            Either<Failure, FetchResponse> response = fetch(addresses.get(addressIndex), i == 0 ? waitMs : 0);
            if (response.isRight() && response.get().inContact()) {
                return true;
            }
            if (addressIndex == 0) {
                leftPreferredAtMs = clock.monotonicMs();
            }
            addressIndex = (addressIndex + 1) % addresses.size();
        }
        randomNeighbours(2).forEach(address -> fetch(address, 0));
        return false;
    }

    private Either<Failure, FetchResponse> fetch(String address, long waitMs) {
        ControlRequest request = new ControlRequest.Fetch(Math.max(currentRevision, unreadableRevision), waitMs);
        Either<Failure, FetchResponse> response = requester
                .request(address, Topic.CONTROL, request.toBytes(), waitMs + options.responseTimeoutMs())
                .flatMap(ControlRequest::decodeResponse)
                .flatMap(ConfigurationFollower::decode);
        response.filter(FetchResponse::newer).forEach(received -> received.peek(newer -> offer(newer.texts())));
        return response;
    }

    private static Either<Failure, FetchResponse> decode(byte[] bytes) {
        try {
            return Either.right(FetchResponse.of(bytes));
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ErrorKind.INTERNAL, String.valueOf(e.getMessage())));
        }
    }

    /**
     * Applies a configuration if its revision is higher than the current one and it can be parsed.
     *
     * @param texts the texts of the revision; not null
     * @return true if the configuration was applied
     */
    public synchronized boolean offer(TemplateTexts texts) {
        if (texts.revision() <= currentRevision) {
            return false;
        }
        Either<List<SettingsProblem>, T> parsed = reader.apply(texts);
        if (parsed.isLeft()) {
            unreadableRevision = Math.max(unreadableRevision, texts.revision());
            LOGGER.error(
                    "[control] Revision {} cannot be read here; revision {} stays in force: {}",
                    texts.revision(),
                    currentRevision,
                    parsed.getLeft());
            return false;
        }
        current = parsed.get();
        currentRevision = texts.revision();
        revisions.publish(texts);
        LOGGER.info("[control] Revision {} is in force.", currentRevision);
        for (Consumer<T> listener : listeners) {
            notifyListener(listener, parsed.get());
        }
        return true;
    }

    private void notifyListener(Consumer<T> listener, T configuration) {
        try {
            listener.accept(configuration);
        } catch (RuntimeException e) {
            LOGGER.error("[control] A listener failed on revision {}.", currentRevision, e);
        }
    }

    /**
     * Reports the revision of a host, as learned from gossip. A higher revision than the current one is fetched from
     * the host in the background; at most one such request is in flight.
     *
     * @param revision the revision of the host
     * @param address address of the host's peer listener; not null
     */
    public void hint(long revision, String address) {
        if (revision > currentRevision && !closed && hintFetchInProgress.compareAndSet(false, true)) {
            TaskThreads.start("configuration-hint", () -> {
                try {
                    fetch(address, 0);
                } finally {
                    hintFetchInProgress.set(false);
                }
            });
        }
    }

    /**
     * Returns the configuration in force on this node.
     *
     * @return the configuration, never null
     */
    public T current() {
        return current;
    }

    /**
     * Adds a listener that is notified of each revision that comes into force, in increasing order. It is called under
     * the follower's lock and must not block.
     *
     * @param listener the listener; not null
     */
    public void addListener(Consumer<T> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the handler of the control topic for a node that is not a control host. It serves this copy.
     *
     * @return the handler, never null
     */
    public PeerRequestHandler requestHandler() {
        return (from, payload) -> {
            try {
                if (ControlRequest.of(payload) instanceof ControlRequest.Fetch fetch) {
                    TemplateTexts texts = awaitNewer(revisions, fetch, MAX_FETCH_WAIT_MS);
                    boolean newer = texts.revision() > fetch.knownRevision();
                    FetchResponse response = new FetchResponse(false, newer, texts);
                    return Either.right(ControlRequest.encodeResponse(Either.right(response.toBytes())));
                }
                return Either.left(Failure.of(ErrorKind.BAD_REQUEST, "This node is not a control host."));
            } catch (IllegalArgumentException e) {
                return Either.left(Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(e.getMessage())));
            }
        };
    }

    static TemplateTexts awaitNewer(RevisionNotifier revisions, ControlRequest.Fetch fetch, long maxWaitMs) {
        try {
            return revisions.await(fetch.knownRevision(), Math.min(fetch.waitMs(), maxWaitMs));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return revisions.newest();
        }
    }

    @Override
    public void close() {
        closed = true;
        revisions.close();
        Thread running = thread;
        if (running != null) {
            running.interrupt();
        }
    }
}
