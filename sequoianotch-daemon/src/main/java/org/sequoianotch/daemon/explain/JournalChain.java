package org.sequoianotch.daemon.explain;

import java.util.function.Supplier;
import org.sequoianotch.model.RequestId;

/**
 * Passes what happens on to several journals, in order.
 *
 * <p>This class is thread-safe, as the journals are.
 */
public final class JournalChain implements Journal {
    private final Journal[] journals;

    private JournalChain(Journal[] journals) {
        this.journals = journals;
    }

    /**
     * Creates a chain.
     *
     * @param journals the journals; not null
     * @return the chain, never null
     */
    public static JournalChain of(Journal... journals) {
        return new JournalChain(journals.clone());
    }

    @Override
    public void record(RequestId requestId, EventKind kind, String sentence) {
        for (Journal journal : journals) {
            journal.record(requestId, kind, sentence);
        }
    }

    @Override
    public void record(RequestId requestId, EventKind kind, Supplier<String> sentence) {
        for (Journal journal : journals) {
            journal.record(requestId, kind, sentence);
        }
    }

    @Override
    public void finish(RequestSummary summary) {
        for (Journal journal : journals) {
            journal.finish(summary);
        }
    }
}
