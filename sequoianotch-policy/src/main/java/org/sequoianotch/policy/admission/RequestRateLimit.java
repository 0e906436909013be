package org.sequoianotch.policy.admission;

import java.util.concurrent.atomic.LongAdder;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.time.Clock;

/**
 * Limit on the requests per second that are sent to one instance, as the instance names it.
 *
 * <p>Each request uses up two allowances. One grows at the named rate, up to the requests of half a second, so that the
 * instance gets this rate on average. The other grows at one and a half times the rate, but never exceeds 2.5 requests.
 * So each span of time has at most one and a half times the requests that the rates in force during it add up to, and
 * 2.5, also if an instance lowers its rate after a time without requests. Both are empty when a rate is first named,
 * because it is not known what was sent before.
 *
 * <p>The lower part of the first allowance is kept for more important calls: critical ones may use all of it, others
 * only what lies above their reserve, which is smaller for calls that other services have already done work for.
 *
 * <p>An instance that names a rate below 0.5 gets a request every two seconds, if there is one, because only its
 * response can tell that the limit has ended. That adds at most two requests to a span of four seconds.
 *
 * <p>This class is thread-safe.
 */
public final class RequestRateLimit {
    private static final double MS_PER_S = 1_000;
    private static final double MAX_AVERAGE_MS = 500;
    private static final double MIN_MAX_AVERAGE = 2;
    private static final double BURST_SHARE = 1.5;
    private static final double MAX_BURST = 2.5;
    private static final double MIN_REQUESTS_PER_S = 0.5;
    /** Reserved part of the allowance above one request, for each step down in criticality. */
    private static final double RESERVE_PER_STEP = 0.25;
    /** Part of the reserve that applies to sub-calls. */
    private static final double SUB_CALL_RESERVE = 0.5;

    private final Clock clock;
    private final LongAdder refusals;
    private double requestsPerS = InstanceNotice.UNLIMITED;
    private String source = "";
    private double sourceAtMs;
    private double averageAllowance;
    private double burstAllowance;
    private double updatedAtMs;

    /**
     * Creates a limit that admits every request.
     *
     * @param clock the clock; not null
     */
    public RequestRateLimit(Clock clock) {
        this(clock, new LongAdder());
    }

    /**
     * Creates a limit that admits every request.
     *
     * @param clock the clock; not null
     * @param refusals counts the calls that are refused because of a rate; not null
     */
    public RequestRateLimit(Clock clock, LongAdder refusals) {
        this.clock = clock;
        this.refusals = refusals;
    }

    /**
     * Sets the rate, which takes effect at once.
     *
     * @param newRequestsPerS requests per second, not negative; {@link InstanceNotice#UNLIMITED} for no limit
     * @param newSource where the rate was named, for the explanation of refusals; not null
     * @throws IllegalArgumentException if the rate is negative or not a number
     */
    public synchronized void set(double newRequestsPerS, String newSource) {
        if (!(newRequestsPerS >= 0)) {
            throw new IllegalArgumentException(
                    "newRequestsPerS is " + newRequestsPerS + ", but must be a number that is not negative");
        }
        double nowMs = clock.monotonicMs();
        if (isLimited()) {
            refill(nowMs);
        } else {
            averageAllowance = 0;
            burstAllowance = 0;
            updatedAtMs = nowMs;
        }
        requestsPerS = newRequestsPerS;
        source = newSource;
        sourceAtMs = nowMs;
        averageAllowance = Math.min(averageAllowance, maxAverageAllowance());
    }

    /**
     * Returns the rate.
     *
     * @return requests per second, or {@link InstanceNotice#UNLIMITED}
     */
    public synchronized double requestsPerS() {
        return requestsPerS;
    }

    private boolean isLimited() {
        return requestsPerS != InstanceNotice.UNLIMITED;
    }

    private double averagePerS() {
        return Math.max(MIN_REQUESTS_PER_S, requestsPerS);
    }

    private double burstPerS() {
        return Math.max(MIN_REQUESTS_PER_S, BURST_SHARE * requestsPerS);
    }

    private double maxAverageAllowance() {
        return Math.max(MIN_MAX_AVERAGE, requestsPerS * MAX_AVERAGE_MS / MS_PER_S);
    }

    private void refill(double nowMs) {
        double elapsedS = (nowMs - updatedAtMs) / MS_PER_S;
        averageAllowance = Math.min(maxAverageAllowance(), averageAllowance + averagePerS() * elapsedS);
        burstAllowance = Math.min(MAX_BURST, burstAllowance + burstPerS() * elapsedS);
        updatedAtMs = nowMs;
    }

    /** Takes one request of the allowances for a call; returns false if the call must not be sent. */
    synchronized boolean tryTake(AdmissionRequest request) {
        if (!isLimited()) {
            return true;
        }
        refill(clock.monotonicMs());
        if (averageAllowance < neededFor(request) || burstAllowance < 1) {
            refusals.increment();
            return false;
        }
        averageAllowance--;
        burstAllowance--;
        return true;
    }

    private double neededFor(AdmissionRequest request) {
        Criticality criticality = request.criticality();
        double reserve = RESERVE_PER_STEP * criticality.ordinal() * (request.depth() > 0 ? SUB_CALL_RESERVE : 1);
        return 1 + reserve * (maxAverageAllowance() - 1);
    }

    /** Returns the time until a call like the given one can be sent, in milliseconds, if no other call comes first. */
    synchronized long waitMs(AdmissionRequest request) {
        double averageWaitS = Math.max(0, neededFor(request) - averageAllowance) / averagePerS();
        double burstWaitS = Math.max(0, 1 - burstAllowance) / burstPerS();
        return (long) Math.ceil(Math.max(averageWaitS, burstWaitS) * MS_PER_S);
    }

    /** Says in one sentence what the limit is and where it was named. */
    synchronized String description() {
        return "The instance takes %s requests per second, as it said %.0f ms ago in %s."
                .formatted(requestsPerS, clock.monotonicMs() - sourceAtMs, source);
    }
}
