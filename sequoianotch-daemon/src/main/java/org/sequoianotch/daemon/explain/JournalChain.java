package org.sequoianotch.daemon.explain;

import java.util.List;
import java.util.function.Supplier;
import org.sequoianotch.model.RequestId;

/**
 * Passes what happens on to several journals, in order.
 *
 * <p>This class is thread-safe, as the journals are.
 */
public final class JournalChain implements Journal {
    private final List<Journal> journals;

    private JournalChain(List<Journal> journals) {
        this.journals = journals;
    }

    /**
     * Creates a chain.
     *
     * @param journals the journals; not null
     * @return the chain, never null
     */
    public static JournalChain of(Journal... journals) {
        return new JournalChain(List.of(journals));
    }

    @Override
    public void record(RequestId requestId, EventKind kind, String sentence) {
        journals.forEach(journal -> journal.record(requestId, kind, sentence));
    }

    @Override
    public void record(RequestId requestId, EventKind kind, Supplier<String> sentence) {
        journals.forEach(journal -> journal.record(requestId, kind, sentence));
    }

    @Override
    public void finish(RequestSummary summary) {
        journals.forEach(journal -> journal.finish(summary));
    }
}
