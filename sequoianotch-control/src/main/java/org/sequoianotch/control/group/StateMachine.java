package org.sequoianotch.control.group;

/** State that the group replicates. It is used by one thread at a time and must depend on nothing but the entries. */
public interface StateMachine {
    /**
     * Applies a committed entry.
     *
     * @param data the data of the entry; not null
     * @return the answer for whoever proposed the entry, never null
     */
    byte[] apply(byte[] data);

    /**
     * Encodes the state; equal states give equal bytes.
     *
     * @return the bytes, never null
     */
    byte[] snapshot();

    /**
     * Replaces the state.
     *
     * @param snapshot what {@link #snapshot} returned, or empty for the first state; not null
     */
    void restore(byte[] snapshot);
}
