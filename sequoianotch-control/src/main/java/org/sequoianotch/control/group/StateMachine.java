package org.sequoianotch.control.group;

import org.sequoianotch.control.log.EntryKind;

/**
 * State that the group replicates.
 *
 * <p>The state must depend on the applied entries only, so that it is the same on every member. Implementations are
 * used by one thread at a time.
 */
public interface StateMachine {
    /**
     * Applies a committed entry.
     *
     * @param kind the kind of the entry, for which {@link EntryKind#isApplied} is true; not null
     * @param data the data of the entry; not null
     * @return the result for the proposer of the entry, never null
     */
    byte[] apply(EntryKind kind, byte[] data);

    /**
     * Encodes the state. Equal states are encoded to equal bytes.
     *
     * @return the encoded state, never null
     */
    byte[] snapshot();

    /**
     * Replaces the state.
     *
     * @param snapshot a result of {@link #snapshot}, or empty for the initial state; not null
     */
    void restore(byte[] snapshot);
}
