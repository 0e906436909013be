package org.sequoianotch.policy.routing;

import org.sequoianotch.model.Instance;

/**
 * An instance that may be selected, with what this node observed at it.
 *
 * @param instance the instance; not null
 * @param stats its statistics; not null
 */
record Candidate(Instance instance, InstanceStats stats) {}
