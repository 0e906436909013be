package org.sequoianotch.daemon.ledger;

import java.util.random.RandomGenerator;

/** Identifier of one attempt to own a key: 128 random bits, so that it never repeats over restarts. */
record ClaimId(long high, long low) {
    static ClaimId random(RandomGenerator random) {
        return new ClaimId(random.nextLong(), random.nextLong());
    }
}
