package org.sequoianotch.daemon.burn;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoianotch.daemon.explain.Summaries;
import org.sequoianotch.error.ErrorKind;
import org.sequoianotch.model.HostId;
import org.sequoianotch.model.RequestId;
import org.sequoianotch.template.TemplateSet;
import org.sequoianotch.time.ManualClock;

/** Guards against burn rates that are wrong, misattributed, or altered between nodes and in reports. */
final class BurnTest {
    private static final RequestId ID = new RequestId(1, 1);

    private final ManualClock clock = ManualClock.startingAt(0);
    private final AtomicReference<TemplateSet> templates = new AtomicReference<>(Summaries.templates());
    private final BurnCounters counters = new BurnCounters(clock, templates::get);

    private BurnLine line() {
        return counters.report().lines().get(0);
    }

    /** Guards against an error kind that is attributed to the wrong cause, and a caller's mistake that is counted. */
    @ParameterizedTest
    @CsvSource({
        ",200,100,GOOD",
        ",404,1,GOOD",
        ",200,100.1,LATE",
        ",503,1,FAILED",
        "OVERLOADED,503,1,SHED",
        "RETRIES_EXHAUSTED,503,1,SHED",
        "DEADLINE_BEFORE_RUN,504,1,LATE",
        "NO_INSTANCE,503,1,FAILED",
        "DRAINING,503,1,FAILED",
        "INTERNAL,500,1,FAILED",
        "CONNECTION_LOST,502,1,UNKNOWN",
        "DEADLINE_IN_DOUBT,504,1,UNKNOWN",
        "LEDGER_UNREACHABLE,503,1,UNKNOWN",
        "KEY_REUSED,422,1,",
        "BODY_INCOMPLETE,400,1,",
        "CALL_CANCELLED,502,1,",
        "CALL_CANCELLED,502,101,LATE",
        "CALLER_GONE,499,1,",
        "CALLER_GONE,499,101,LATE"
    })
    void requestsAreClassifiedByTheirEnd(ErrorKind error, int status, double latencyMs, Verdict expected) {
        counters.recordEnd(Summaries.of(ID, error, status, latencyMs, 1));
        WindowCounts counts = line().fast();
        long[] found = {counts.good(), counts.shed(), counts.late(), counts.failed(), counts.unknown()};
        for (Verdict verdict : Verdict.values()) {
            assertThat(found[verdict.ordinal()]).isEqualTo(verdict == expected ? 1 : 0);
        }
    }

    /** Guards against counts that leave a window too early or too late. */
    @Test
    void windowsEndAtSlotBoundaries() {
        clock.advance(9_999);
        counters.recordEnd(Summaries.of(ID, ErrorKind.OVERLOADED, 503, 1, 0));
        clock.advance(290_000);
        assertThat(line().fast().shed()).isEqualTo(1);
        clock.advance(1);
        assertThat(line().fast().shed()).isEqualTo(0);
        assertThat(line().slow().shed()).isEqualTo(1);
        clock.advance(3_299_999);
        assertThat(line().slow().shed()).isEqualTo(1);
        assertThat(line().minutes().get(0).shed()).isEqualTo(1);
        clock.advance(1);
        assertThat(line().slow().shed()).isEqualTo(0);
    }

    /** Guards against a slot of the ring buffer that still contains the counts of an hour ago. */
    @Test
    void slotsAreClearedWhenReused() {
        counters.recordEnd(Summaries.of(ID, ErrorKind.OVERLOADED, 503, 1, 0));
        clock.advance(3_600_000);
        counters.recordEnd(Summaries.of(ID, null, 200, 1, 1));
        assertThat(line().slow()).isEqualTo(new WindowCounts(1, 0, 0, 0, 0));
    }

    /** Guards against a burn rate that ignores the error budget: 2 of 100 bad with 1 % allowed is a rate of 2. */
    @Test
    void burnRateIsBadFractionOverBudget() {
        for (int i = 0; i < 100; i++) {
            counters.recordEnd(Summaries.of(ID, i < 2 ? ErrorKind.OVERLOADED : null, 200, 1, 1));
        }
        assertThat(line().fastRate()).isWithin(1e-9).of(2.0);
        assertThat(BurnText.text(counters.report()))
                .contains("caisse critical (99% within 100 ms): burn rate 2.00 over 5 min and 2.00 over 1 h;"
                        + " 98 of 100 requests were good in the last hour; bad requests: 2 shed.");
    }

    /** Guards against sums that omit a node, and against reports that are altered by encoding and decoding. */
    @Test
    void reportsOfNodesAreSummed() {
        counters.recordEnd(Summaries.of(ID, ErrorKind.OVERLOADED, 503, 1, 0));
        BurnReport own = counters.report();
        BurnReport other = BurnReport.decode(own.encode()).get();
        assertThat(other).isEqualTo(own);
        var missing = new TreeMap<>(Map.of(HostId.of("host-9"), "It is silent."));
        BurnReport merged = BurnReport.merge(List.of(own, other), missing);
        assertThat(merged.nodes()).isEqualTo(2);
        assertThat(merged.lines().get(0).slow().shed()).isEqualTo(2);
        assertThat(merged.lines().get(0).minutes().get(59).shed()).isEqualTo(2);
        assertThat(BurnText.text(merged)).contains("Host host-9 did not respond");
        byte[] payload = own.encode();
        assertThat(BurnReport.decode(Arrays.copyOf(payload, payload.length - 1)).isLeft())
                .isTrue();
    }

    /** Guards against counts that survive the removal of their objective from the templates. */
    @Test
    void removedObjectivesLoseTheirCounts() {
        counters.recordEnd(Summaries.of(ID, ErrorKind.OVERLOADED, 503, 1, 0));
        TemplateSet before = templates.getAndSet(TemplateSet.EMPTY);
        assertThat(counters.report().lines()).isEmpty();
        templates.set(before);
        assertThat(line().slow().total()).isEqualTo(0);
    }

    /** Guards against a page that loads external resources, or that renders text from nodes as markup. */
    @Test
    void htmlLoadsNoExternalResources() {
        counters.recordEnd(Summaries.of(ID, ErrorKind.OVERLOADED, 503, 1, 0));
        var missing = new TreeMap<>(Map.of(HostId.of("host-9"), "<script>alert(1)</script>"));
        String page = BurnHtml.render(BurnReport.merge(List.of(counters.report()), missing));
        assertThat(page).contains("<rect ");
        assertThat(page).doesNotContainMatch("(?i)https?:|src=|href=|url\\(|@import|<script|<link");
    }
}
