package org.sequoianotch.policy.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoianotch.model.Criticality;
import org.sequoianotch.model.InstanceNotice;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.time.ManualClock;

/** Guards against more requests than a named rate allows, and against a limit that is not used or that never ends. */
final class RequestRateLimitTest {
    /** Bounds of the deployments: in each span of four seconds one and a half times the rate, and five requests. */
    private static final double SPAN_MS = 4_000;

    private static final double ALLOWED_SHARE = 1.5;
    private static final int ALLOWED_CONSTANT = 5;

    private final ManualClock clock = ManualClock.startingAt(0);
    private final LongAdder refusals = new LongAdder();
    private final RequestRateLimit limit = new RequestRateLimit(clock, refusals);

    private static AdmissionRequest request(Criticality criticality, int depth) {
        return new AdmissionRequest(new RequestId(0, 1), criticality, depth, Double.POSITIVE_INFINITY);
    }

    private boolean tryTake(Criticality criticality) {
        return limit.tryTake(request(criticality, 0));
    }

    /** Requests arrive in bursts after idle times, and the rate changes at random times, also to zero and to none. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noSpanHasMoreRequestsThanTheRatesWithinItAllow(long seed) {
        Random random = new Random(seed);
        double[] rates = {0, 0.2, 0.5, 1, 3.7, 6, 20.4, 30, 150};
        double rate = rates[random.nextInt(rates.length)];
        limit.set(rate, "a test");
        List<double[]> ratesByTime = new ArrayList<>(List.of(new double[] {0, rate}));
        List<Double> sentAtMs = new ArrayList<>();
        while (clock.monotonicMs() < 60_000) {
            boolean isIdle = random.nextInt(100) == 0;
            clock.advance(isIdle ? random.nextInt(6_000) : random.nextInt(20));
            if (random.nextInt(300) == 0) {
                rate = rates[random.nextInt(rates.length)];
                limit.set(rate, "a test");
                ratesByTime.add(new double[] {clock.monotonicMs(), rate});
            }
            for (int burst = random.nextInt(6); burst > 0; burst--) {
                if (tryTake(Criticality.values()[random.nextInt(3)])) {
                    sentAtMs.add(clock.monotonicMs());
                }
            }
        }
        for (int first = 0; first < sentAtMs.size(); first++) {
            double fromMs = sentAtMs.get(first);
            long sent = sentAtMs.stream()
                    .filter(atMs -> atMs >= fromMs && atMs <= fromMs + SPAN_MS)
                    .count();
            assertWithMessage("requests from %s ms on", fromMs)
                    .that((double) sent)
                    .isAtMost(ALLOWED_SHARE * requestsNamed(ratesByTime, fromMs) + ALLOWED_CONSTANT);
        }
    }

    /** Returns the requests that the rates in force add up to within a span. */
    private static double requestsNamed(List<double[]> ratesByTime, double fromMs) {
        double sum = 0;
        for (int i = 0; i < ratesByTime.size(); i++) {
            double startMs = Math.max(fromMs, ratesByTime.get(i)[0]);
            double endMs = i + 1 < ratesByTime.size() ? ratesByTime.get(i + 1)[0] : Double.POSITIVE_INFINITY;
            sum += ratesByTime.get(i)[1] * Math.max(0, Math.min(endMs, fromMs + SPAN_MS) - startMs) / 1_000;
        }
        return sum;
    }

    /** An instance that is half idle beside refused callers is a fault as well. */
    @ParameterizedTest
    @CsvSource({"0.5, CRITICAL", "1, SHEDDABLE", "6, STANDARD", "20.4, SHEDDABLE", "150, SHEDDABLE"})
    void allRequestsThatTheInstanceTakesAreSentUnderLoad(double rate, Criticality criticality) {
        limit.set(rate, "a test");
        int sent = 0;
        for (int i = 0; i < 40_000; i++) {
            clock.advance(1);
            sent += tryTake(criticality) ? 1 : 0;
        }
        assertThat((double) sent).isWithin(2 + 0.02 * 40 * rate).of(40 * rate);
        assertThat(refusals.sum()).isEqualTo(40_000 - sent);
    }

    /** Only a response can tell that the limit has ended, whoever calls. */
    @ParameterizedTest
    @CsvSource({"0, SHEDDABLE", "0, CRITICAL", "0.1, STANDARD"})
    void someRequestsAreSentBelowOnePerSecond(double rate, Criticality criticality) {
        limit.set(rate, "a test");
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            clock.advance(100);
            sent += tryTake(criticality) ? 1 : 0;
        }
        assertThat(sent).isAtLeast(8);
        assertThat(sent).isAtMost(10);
    }

    @Test
    void moreImportantCallsAreServedFirst() {
        limit.set(10, "a test");
        int[] sent = new int[3];
        for (int i = 0; i < 10_000; i++) {
            clock.advance(10);
            Criticality criticality = i % 10 < 2 ? Criticality.CRITICAL : Criticality.SHEDDABLE;
            // 20 critical calls per second alone are twice the rate.
            sent[criticality.ordinal()] += tryTake(criticality) ? 1 : 0;
        }
        assertThat(sent[Criticality.CRITICAL.ordinal()]).isAtLeast(990);
        assertThat(sent[Criticality.SHEDDABLE.ordinal()]).isAtMost(10);
    }

    @Test
    void callThatOthersHaveWorkedForGoesBeforeOthersOfItsClass() {
        limit.set(10, "a test");
        int deep = 0;
        int first = 0;
        for (int i = 0; i < 10_000; i++) {
            clock.advance(10);
            deep += i % 5 == 0 && limit.tryTake(request(Criticality.SHEDDABLE, 2)) ? 1 : 0;
            first += limit.tryTake(request(Criticality.SHEDDABLE, 0)) ? 1 : 0;
        }
        assertThat(deep).isGreaterThan(10 * first);
    }

    @Test
    void changesTakeEffectAtOnce() {
        limit.set(1, "a test");
        assertThat(tryTake(Criticality.CRITICAL)).isFalse();
        limit.set(InstanceNotice.UNLIMITED, "a test");
        for (int i = 0; i < 1_000; i++) {
            assertThat(tryTake(Criticality.SHEDDABLE)).isTrue();
        }
        limit.set(100, "a test");
        clock.advance(10_000);
        limit.set(2, "a test");
        int sent = 0;
        while (tryTake(Criticality.CRITICAL)) {
            sent++;
        }
        assertThat(sent).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.NEGATIVE_INFINITY})
    void rateOutOfRangeIsRejected(double rate) {
        assertThrows(IllegalArgumentException.class, () -> limit.set(rate, "a test"));
    }
}
