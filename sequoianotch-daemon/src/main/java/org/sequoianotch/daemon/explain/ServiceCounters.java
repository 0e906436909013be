package org.sequoianotch.daemon.explain;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.model.ServiceName;
import org.sequoianotch.time.Clock;

/**
 * Counts the requests that entered at this node per minute, by service, rule, effect and cause.
 *
 * <p>Memory is bounded: counts are kept for {@value #MINUTES} minutes, with at most {@value #MAX_CATEGORIES} categories
 * per minute. Requests of further categories are counted under the rule and cause {@code other}.
 *
 * <p>This class is thread-safe.
 */
public final class ServiceCounters implements RequestRecorder {
    static final int MINUTES = 120;
    static final int MAX_CATEGORIES = 256;
    private static final double MINUTE_MS = 60_000;
    private static final int SERVER_ERROR = 500;

    private final Clock clock;
    private final double slowMs;
    private final Deque<Minute> minutes = new ArrayDeque<>();

    /**
     * Creates counters with the value zero.
     *
     * @param clock the clock; not null
     * @param slowMs latency above which a request counts as delayed, in milliseconds
     */
    public ServiceCounters(Clock clock, double slowMs) {
        this.clock = clock;
        this.slowMs = slowMs;
    }

    @Override
    public void record(RequestId requestId, EventKind kind, String sentence) {
        // Events do not contain the service. Requests are counted when they end.
    }

    @Override
    public synchronized void recordEnd(RequestSummary summary) {
        Minute minute = currentMinute();
        minute.add(summary, effect(summary), cause(summary));
        if (summary.attempts() > 1) {
            minute.add(summary, ServiceSummary.Effect.RETRIED, "more than one attempt");
        }
    }

    /**
     * Returns the counts of a service.
     *
     * @param service the service; not null
     * @param sinceMs length of the period that ends now, in milliseconds, extended to the start of a minute
     * @return the sums over the period, never null
     */
    public synchronized ServiceSummary summary(ServiceName service, long sinceMs) {
        long oldest = (long) Math.floor((clock.monotonicMs() - sinceMs) / MINUTE_MS);
        Map<ServiceSummary.Category, Long> sums = new HashMap<>();
        for (Minute minute : minutes) {
            if (minute.number >= oldest) {
                minute.counts.forEach((key, count) -> {
                    if (key.service().equals(service)) {
                        sums.merge(key.category(), count, Long::sum);
                    }
                });
            }
        }
        return ServiceSummary.of(sums);
    }

    private Minute currentMinute() {
        long number = (long) Math.floor(clock.monotonicMs() / MINUTE_MS);
        if (minutes.isEmpty() || minutes.getLast().number != number) {
            minutes.addLast(new Minute(number));
        }
        while (minutes.getFirst().number <= number - MINUTES) {
            minutes.removeFirst();
        }
        return minutes.getLast();
    }

    private ServiceSummary.Effect effect(RequestSummary summary) {
        if (summary.error().isPresent()) {
            return summary.error().get().provesNotRun() ? ServiceSummary.Effect.REFUSED : ServiceSummary.Effect.CUT;
        }
        return summary.latencyMs() > slowMs ? ServiceSummary.Effect.DELAYED : ServiceSummary.Effect.SERVED;
    }

    private String cause(RequestSummary summary) {
        if (summary.error().isPresent()) {
            return summary.error().get().code();
        }
        String description =
                summary.status() >= SERVER_ERROR ? "the backend server answered with an error" : "answered";
        return summary.latencyMs() > slowMs ? description + " after more than " + (long) slowMs + " ms" : description;
    }

    private record Key(ServiceName service, ServiceSummary.Category category) {}

    /** The counts of a minute. */
    private static final class Minute {
        private final long number;
        private final Map<Key, Long> counts = new HashMap<>();

        private Minute(long number) {
            this.number = number;
        }

        private void add(RequestSummary summary, ServiceSummary.Effect effect, String cause) {
            ServiceName service = summary.rule().service();
            Key key =
                    new Key(service, new ServiceSummary.Category(summary.rule().label(), effect, cause));
            if (counts.size() >= MAX_CATEGORIES && !counts.containsKey(key)) {
                key = new Key(service, new ServiceSummary.Category("other", effect, "other"));
            }
            counts.merge(key, 1L, Long::sum);
        }
    }
}
