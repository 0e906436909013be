package org.sequoianotch.policy;

import org.sequoianotch.policy.retry.SharedRetryLimit;

/** Limits for tests that are not about them. */
public final class TestLimits {
    /** Limit of a deployment with a single node. */
    public static final SharedRetryLimit ONE_NODE = new SharedRetryLimit(10_000, 10, () -> 1);

    private TestLimits() {}
}
