package org.sequoianotch.daemon.ledger;

/**
 * Incarnation of a ledger host.
 *
 * <p>A host that lost its claims takes a higher number before it serves again, so that its grants from before the loss
 * can be distinguished from later ones. This type is immutable.
 *
 * @param number the incarnation number, raised after each loss of the claims
 * @param bootId random identifier of the process start in which the incarnation began
 */
record Incarnation(long number, long bootId) {
    static final Incarnation NONE = new Incarnation(0, 0);

    /** Returns whether this incarnation is the given known one or a newer one, so that it may copy claims. */
    boolean mayFollow(Incarnation known) {
        return number > known.number || equals(known);
    }
}
