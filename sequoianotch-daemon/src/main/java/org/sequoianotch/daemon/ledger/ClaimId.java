package org.sequoianotch.daemon.ledger;

import java.util.random.RandomGenerator;

/** Identifier of one attempt to claim a key: 128 random bits, so that it does not repeat after a restart. */
record ClaimId(long high, long low) {
    static ClaimId random(RandomGenerator random) {
        return new ClaimId(random.nextLong(), random.nextLong());
    }
}
