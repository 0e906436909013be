package org.sequoianotch.protocol;

/** Topic of a peer request, which selects its handler. The ordinal is the wire value: add constants only at the end. */
public enum Topic {
    /** Anti-entropy exchange of member states between data centres. */
    MEMBERSHIP,
    /** Control group: votes, log entries, configuration changes and template revisions. */
    CONTROL,
    /** Ledger of idempotency keys: claims, releases and completions. */
    LEDGER,
    /** Collection of request timelines and burn counters. */
    EXPLAIN,
    /** Departures of instances, which other hosts keep for the node beside the instance. */
    DEPARTURES
}
