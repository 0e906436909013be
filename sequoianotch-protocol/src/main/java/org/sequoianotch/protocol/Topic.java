package org.sequoianotch.protocol;

/** Subject of a question between nodes. The ordinal is the wire value, so constants are only ever added at the end. */
public enum Topic {
    /** Exchange of member states between data centres. */
    MEMBERSHIP,
    /** Control group: votes, log entries, changes and template revisions. */
    CONTROL,
    /** Ledger of idempotency keys: claims, releases and completions. */
    LEDGER,
    /** Collection of request timelines and burn counters. */
    EXPLAIN
}
