package org.sequoianotch.daemon.explain;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.time.Clock;

/**
 * Writes a log line for each decision that affects the outcome of a request: refusals, failures, retries and
 * cancellations.
 *
 * <p>The number of lines per second is limited. Lines above the limit are dropped, and a log line gives their number.
 *
 * <p>This class is thread-safe.
 */
public final class DecisionLog implements RequestRecorder {
    private static final Logger LOG = LogManager.getLogger(DecisionLog.class);

    private static final double MS_PER_S = 1_000;

    private final Clock clock;
    private final int maxLinesPerS;
    private final AtomicLong currentSecond = new AtomicLong();
    private final AtomicLong linesInSecond = new AtomicLong();

    /**
     * Creates a log.
     *
     * @param clock the clock; not null
     * @param maxLinesPerS largest number of lines per second; positive
     */
    public DecisionLog(Clock clock, int maxLinesPerS) {
        this.clock = clock;
        this.maxLinesPerS = maxLinesPerS;
    }

    @Override
    public void record(RequestId requestId, EventKind kind, String sentence) {
        if (kind.isNotable() && tryAcquireLine()) {
            LOG.info("[call] request={} event={} {}", requestId, kind, sentence);
        }
    }

    @Override
    public void record(RequestId requestId, EventKind kind, Supplier<String> sentence) {
        if (kind.isNotable()) {
            record(requestId, kind, sentence.get());
        }
    }

    @Override
    public void recordEnd(RequestSummary summary) {
        summary.error().ifPresent(error -> {
            if (tryAcquireLine()) {
                LOG.info(
                        "[call] request={} ended service={} error={} status={} revision={} attempts={} took_ms={}",
                        summary.requestId(),
                        summary.rule().service(),
                        error.code(),
                        summary.status(),
                        summary.revision(),
                        summary.attempts(),
                        Math.round(summary.latencyMs()));
            }
        });
    }

    private boolean tryAcquireLine() {
        long second = (long) (clock.monotonicMs() / MS_PER_S);
        long previousSecond = currentSecond.get();
        if (second != previousSecond && currentSecond.compareAndSet(previousSecond, second)) {
            long droppedLines = linesInSecond.getAndSet(0) - maxLinesPerS;
            if (droppedLines > 0) {
                LOG.info("[call] {} log lines about requests were suppressed in the last second.", droppedLines);
            }
        }
        return linesInSecond.incrementAndGet() <= maxLinesPerS;
    }
}
