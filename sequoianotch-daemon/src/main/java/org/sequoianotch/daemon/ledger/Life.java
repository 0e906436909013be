package org.sequoianotch.daemon.ledger;

/**
 * One span of memory of a ledger host. A host that lost its claims gets a higher number before it serves again, so that
 * grants which it gave before the loss are told from later ones.
 *
 * @param number raised with each loss
 * @param boot random number of the process start in which the life began
 */
record Life(long number, long boot) {
    static final Life NONE = new Life(0, 0);

    /** Tells whether a copy for this life may follow the given known life: it is newer or the same. */
    boolean mayFollow(Life known) {
        return number > known.number || equals(known);
    }
}
