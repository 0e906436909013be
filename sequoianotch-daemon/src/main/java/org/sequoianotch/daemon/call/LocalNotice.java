package org.sequoianotch.daemon.call;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.policy.admission.RequestRateLimit;
import org.sequoianotch.time.Clock;

/**
 * The notice of one incarnation of an instance on this host, and the limit that follows from it.
 *
 * <p>It is taken from the responses of the instance, in the order in which they arrived. Before the first response that
 * this process has seen, it is taken from the calls of other nodes, which remember what the instance told an earlier
 * process. Versions order the notices that this process and earlier ones have sent: a version above those that this
 * process gave out was given out by an earlier one.
 *
 * <p>This class is thread-safe.
 */
final class LocalNotice {
    private static final Logger LOG = LogManager.getLogger(LocalNotice.class);

    private final String instance;
    private final long incarnation;
    private final RequestRateLimit rateLimit;
    /** The last version that this process has given out or seen, for all instances on the host. */
    private final AtomicLong lastVersion;

    private final Clock clock;
    private double maxRequestsPerS = InstanceNotice.UNLIMITED;
    private volatile boolean leaving;
    /** Zero while nothing was said that other nodes have to know. */
    private long version;

    private boolean seenResponse;
    private double lastResponseAtMs = Double.NEGATIVE_INFINITY;
    private boolean problemLogged;

    /** Creates the notice of an incarnation that has said nothing yet; {@code instance} names it in log lines. */
    LocalNotice(String instance, long incarnation, RequestRateLimit rateLimit, AtomicLong lastVersion, Clock clock) {
        this.instance = instance;
        this.incarnation = incarnation;
        this.rateLimit = rateLimit;
        this.lastVersion = lastVersion;
        this.clock = clock;
    }

    RequestRateLimit rateLimit() {
        return rateLimit;
    }

    long incarnation() {
        return incarnation;
    }

    /** Returns whether the instance has said that it is leaving. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns the notice to send to other nodes, or null while there is nothing to say. */
    synchronized @Nullable InstanceNotice current() {
        return version == 0 ? null : content(version);
    }

    private InstanceNotice content(long ofVersion) {
        return new InstanceNotice(incarnation, ofVersion, maxRequestsPerS, leaving);
    }

    /**
     * Applies a response of the instance. A response that arrived before the last one that was applied is ignored.
     *
     * @param statement what the response says; not null
     * @param requestId the request that it responds to; not null
     * @param receivedAtMs when its head arrived, on the monotonic clock, in milliseconds
     */
    synchronized void onResponse(InstanceStatement statement, RequestId requestId, double receivedAtMs) {
        if (receivedAtMs < lastResponseAtMs) {
            return;
        }
        lastResponseAtMs = receivedAtMs;
        seenResponse = true;
        if (statement.problem() != null) {
            logProblem(statement.problem(), requestId);
        }
        Supplier<String> source = () -> "the response to request " + requestId;
        boolean changed = setRate(statement.maxRequestsPerS().orElse(maxRequestsPerS), source, receivedAtMs);
        changed |= statement.leaving() && setLeaving(source);
        if (changed) {
            version = lastVersion.incrementAndGet();
        }
    }

    /**
     * Applies what another node remembers.
     *
     * @param known the notice; not null
     * @param from the node; not null
     */
    synchronized void onRemembered(InstanceNotice known, HostId from) {
        boolean isFromEarlierProcess = known.version() > lastVersion.get();
        lastVersion.accumulateAndGet(known.version(), Math::max);
        if (known.incarnation() == incarnation) {
            Supplier<String> source = () -> "a call of " + from + ", which remembers it";
            if (isFromEarlierProcess && !seenResponse) {
                setRate(known.maxRequestsPerS(), source, clock.monotonicMs());
                version = known.version();
            }
            if (known.leaving() && setLeaving(source)) {
                version = lastVersion.incrementAndGet();
            }
        }
        // The node ignores notices whose version is not higher than that of the one it has.
        if (version < known.version() && seenResponse
                || version == known.version() && !content(version).hasContentOf(known)) {
            version = lastVersion.incrementAndGet();
        }
    }

    private boolean setRate(double newMaxRequestsPerS, Supplier<String> source, double saidAtMs) {
        if (newMaxRequestsPerS == maxRequestsPerS) {
            return false;
        }
        String sourceText = source.get();
        LOG.info(
                "[call] Instance {} takes {} requests per second, before {}; it said so in {}, {} ms ago.",
                instance,
                rateText(newMaxRequestsPerS),
                rateText(maxRequestsPerS),
                sourceText,
                String.format(Locale.ROOT, "%.1f", clock.monotonicMs() - saidAtMs));
        maxRequestsPerS = newMaxRequestsPerS;
        rateLimit.set(newMaxRequestsPerS, sourceText);
        return true;
    }

    private static String rateText(double requestsPerS) {
        return requestsPerS == InstanceNotice.UNLIMITED ? "any number of" : Double.toString(requestsPerS);
    }

    private boolean setLeaving(Supplier<String> source) {
        if (leaving) {
            return false;
        }
        leaving = true;
        LOG.info("[call] Instance {} is leaving; it said so in {}.", instance, source.get());
        return true;
    }

    private void logProblem(String problem, RequestId requestId) {
        if (!problemLogged) {
            problemLogged = true;
            LOG.warn(
                    "[call] Instance {} sent a statement that cannot be read, in the response to request {}: {} The"
                            + " last rate that could be read stays in force; further statements like it are not"
                            + " logged.",
                    instance,
                    requestId,
                    problem);
        }
    }
}
