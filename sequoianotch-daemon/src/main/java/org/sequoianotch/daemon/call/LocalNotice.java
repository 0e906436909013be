package org.sequoianotch.daemon.call;

import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.time.Clock;

/**
 * What one incarnation of an instance on this host says about itself, taken from its responses in the order in which
 * they arrived.
 *
 * <p>This class is thread-safe.
 */
final class LocalNotice {
    private static final Logger LOG = LogManager.getLogger(LocalNotice.class);

    private final String instance;
    private final Clock clock;
    private double maxRequestsPerS = InstanceStatement.UNLIMITED;
    private boolean leaving;
    private double lastResponseAtMs = Double.NEGATIVE_INFINITY;
    private boolean problemLogged;

    /** Creates the notice of an incarnation that has said nothing yet; {@code instance} names it in log lines. */
    LocalNotice(String instance, Clock clock) {
        this.instance = instance;
        this.clock = clock;
    }

    /** Returns the requests per second that the instance takes, or {@link InstanceStatement#UNLIMITED}. */
    synchronized double maxRequestsPerS() {
        return maxRequestsPerS;
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
        if (statement.problem() != null) {
            logProblem(statement.problem(), requestId);
        }
        String source = "the response to request " + requestId;
        setRate(statement.maxRequestsPerS().orElse(maxRequestsPerS), source, receivedAtMs);
        if (statement.leaving()) {
            setLeaving(source);
        }
    }

    private void setRate(double newMaxRequestsPerS, String source, double saidAtMs) {
        if (newMaxRequestsPerS == maxRequestsPerS) {
            return;
        }
        LOG.info(
                "[call] Instance {} takes {} requests per second, before {}; it said so in {}, {} ms ago.",
                instance,
                rateText(newMaxRequestsPerS),
                rateText(maxRequestsPerS),
                source,
                String.format(Locale.ROOT, "%.1f", clock.monotonicMs() - saidAtMs));
        maxRequestsPerS = newMaxRequestsPerS;
    }

    private static String rateText(double requestsPerS) {
        return requestsPerS == InstanceStatement.UNLIMITED ? "any number of" : Double.toString(requestsPerS);
    }

    private void setLeaving(String source) {
        if (!leaving) {
            leaving = true;
            LOG.info("[call] Instance {} is leaving; it said so in {}.", instance, source);
        }
    }

    private void logProblem(String problem, RequestId requestId) {
        if (!problemLogged) {
            problemLogged = true;
            LOG.warn(
                    "[call] Instance {} sent a statement that cannot be read, in the response to request {}: {} Further"
                            + " statements like it are not logged.",
                    instance,
                    requestId,
                    problem);
        }
    }
}
